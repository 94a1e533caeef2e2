package main

func resetWhileFrozen(s *stand) bool { return false }
