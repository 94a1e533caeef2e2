package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	crowdSize   = 600
	crowdHead   = 60_000 // bytes of a head without its end
	crowdWaves  = 3
	machineMB   = 284 // memory_mb of a machine
	watchMemory = 10 * time.Millisecond
)

// residentMB returns the resident memory of a process; 0 if it has ended.
func residentMB(pid int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, found := strings.Cut(string(status), "VmRSS:")
	if !found {
		return 0
	}
	kb, _ := strconv.Atoi(strings.Fields(rest)[0])
	return kb >> 10
}

// manyFields returns the beginning of a request whose head has short fields with different names, n bytes in all, and no end.
func manyFields(n int) string {
	var text strings.Builder
	fmt.Fprintf(&text, "GET /status/1 HTTP/1.1\r\nHost: %s\r\nX-Request-Id: crowd\r\n", host)
	for i := 0; text.Len() < n; i++ {
		fmt.Fprintf(&text, "%s:\r\n", strconv.FormatInt(int64(36*36+i), 36))
	}
	return text.String()
}

// sendCrowd opens connections to the instance and sends the text on each. They stay open until leave is called.
func sendCrowd(g *gatewayProcess, text string) (number int, leave func()) {
	var conns []net.Conn
	for range crowdSize {
		conn, err := net.DialTimeout("tcp", g.callers, time.Second)
		if err != nil {
			continue
		}
		conns = append(conns, conn)
		go func() { _, _ = io.WriteString(conn, text) }()
	}
	return len(conns), func() {
		for _, conn := range conns {
			_ = conn.Close()
		}
	}
}

// headCrowd sends crowds to two machines of six, three times: clients that send most of a head with many short fields, and stay. The
// platform kills a process that exceeds the memory of its machine and starts it again. It reports whether processes of two machines ended
// so three times.
func headCrowd(s *stand) bool {
	s.store.put("op/config", configuration(3, true))
	for n := range 3 {
		id := fmt.Sprintf("i-app-%d", n)
		s.engine(id, "app", zones[n], 6, func(conn *net.TCPConn, _ *http.Request, requestID string) bool {
			body := "answer to " + requestID
			_, err := io.WriteString(conn, head(http.StatusOK, requestID, id)+fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body))
			return err == nil
		})
	}
	for n := range 6 {
		s.gateway(fmt.Sprintf("front-%s-%d", zones[n%3], 1+n/3), zones[n%3], s.store.listen())
	}
	for _, g := range s.gateways {
		s.awaitReady(g)
	}
	crowded := s.gateways[:2]
	stop := make(chan struct{})
	var platform sync.WaitGroup
	ends, peaks := make([]int, len(s.gateways)), make([]int, len(s.gateways))
	for n, g := range s.gateways {
		platform.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(watchMemory):
				}
				now := residentMB(g.cmd.Process.Pid)
				peaks[n] = max(peaks[n], now)
				if now <= machineMB && g.alive() {
					continue
				}
				s.note("the process of %s has %d MB of %d (alive: %t): the platform kills it and starts it again", g.name, now, machineMB, g.alive())
				ends[n]++
				g.signal(syscall.SIGKILL)
				<-g.done
				time.Sleep(300 * time.Millisecond)
				s.start(g)
			}
		})
	}
	time.Sleep(4 * time.Second)
	text := manyFields(crowdHead)
	for wave := range crowdWaves {
		for _, g := range crowded {
			a := g.client().send(http.MethodGet, host, "/status/1", map[string]string{"X-Request-Id": fmt.Sprintf("calm-%d-%s", wave, g.name)}, 3*time.Second)
			s.note("an ordinary client at %s: %v", g.name, a)
		}
		var leaves []func()
		if s.trouble {
			for _, g := range crowded {
				number, leave := sendCrowd(g, text)
				leaves = append(leaves, leave)
				s.note("%d clients have sent %d bytes of a head with %d fields to %s, and stay", number, len(text), strings.Count(text, "\r\n")-1, g.name)
			}
		}
		time.Sleep(6 * time.Second)
		for _, leave := range leaves {
			leave()
		}
		for _, g := range crowded {
			s.awaitReady(g)
		}
		time.Sleep(time.Second)
	}
	close(stop)
	platform.Wait()
	often := 0
	for n, g := range s.gateways {
		s.note("%s: ended %d times, largest resident memory %d MB of %d", g.name, ends[n], peaks[n], machineMB)
		if ends[n] >= 3 {
			often++
		}
	}
	s.note("machines of six whose processes ended three times or more: %d; the rule allows one", often)
	return often >= 2
}
