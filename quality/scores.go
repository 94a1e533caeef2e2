package quality

import "math"

// buckets of equal width divide the scores from 0 to 1.
const buckets = 20

// scores is a histogram of ratings in which older ones fade.
type scores struct {
	weight [buckets]float64
	total  float64
	sum    float64
}

// add enters a score after fading the older ones by the factor.
func (s *scores) add(score, fade float64) {
	for i := range s.weight {
		s.weight[i] *= fade
	}
	s.weight[bucketOf(score)]++
	s.total = s.total*fade + 1
	s.sum = s.sum*fade + score
}

func bucketOf(score float64) int {
	return min(max(int(score*buckets), 0), buckets-1)
}

// above is the weight of the ratings at or above a threshold, with its bucket counted in part.
func (s *scores) above(threshold float64) float64 {
	at := bucketOf(threshold)
	inside := min(max(float64(at+1)-threshold*buckets, 0), 1)
	sum := s.weight[at] * inside
	for _, weight := range s.weight[at+1:] {
		sum += weight
	}
	return sum
}

// excess is the sum of what the ratings exceed a threshold by.
func (s *scores) excess(threshold float64) float64 {
	var sum float64
	for i, weight := range s.weight {
		middle := (float64(i) + 0.5) / buckets
		sum += weight * max(middle-threshold, 0)
	}
	return sum
}

// priorSpread is how far scores are assumed to lie from a mean that is all that is known.
const priorSpread = 0.1

// priorPass is the assumed chance that an answer with the given mean score reaches a threshold.
func priorPass(mean, threshold float64) float64 {
	return 1 / (1 + math.Exp((threshold-mean)/priorSpread))
}

// priorExcess is the assumed mean of what answers with the given mean score exceed a threshold by;
// its slope in the mean is priorPass.
func priorExcess(mean, threshold float64) float64 {
	return priorSpread * math.Log1p(math.Exp((mean-threshold)/priorSpread))
}

// shrink combines an observed sum over total ratings with a prior that counts for n ratings.
func shrink(sum, total, prior, n float64) float64 {
	return (sum + prior*n) / (total + n)
}
