package main

import (
	"bufio"
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
	// promptBytes is the size of the bodies, which the configuration allows.
	promptBytes = 3 << 20
	// readPause is how long a runner answers before it reads on.
	readPause = 6 * time.Second
	// slowEvents events with slowGap between them make a stream of 8 s.
	slowEvents = 80
	slowGap    = 100 * time.Millisecond
)

// slowReader plays runners that answer before they have read a long body, and read on later. The
// settings of one of two instances change while they do, and it gets SIGHUP. Without trouble the
// runners read the body at once.
func slowReader(log *record, trouble bool) (outcome, error) {
	folder, err := os.MkdirTemp("", "standin2")
	if err != nil {
		return outcome{}, err
	}
	defer os.RemoveAll(folder)
	platform, err := startStore()
	if err != nil {
		return outcome{}, err
	}
	config := plainConfig(3)
	config["limits"].(map[string]any)["maxBodyBytes"] = 4 << 20
	config["routes"] = append(config["routes"].([]any), streamingRoute("/digest/", 20*time.Second))
	platform.put("op", "config", config)
	pause := time.Duration(0)
	if trouble {
		pause = readPause
	}
	for n := range 2 {
		if err := startSlowReader(platform, fmt.Sprintf("i-%08x", 0x7f3a91c2+n), pause, log); err != nil {
			return outcome{}, err
		}
	}
	fronts, err := startFronts(2, platform.address, folder)
	defer func() {
		for _, f := range fronts {
			f.stop()
		}
	}()
	if err != nil {
		return outcome{}, err
	}
	time.Sleep(4 * time.Second)
	var group sync.WaitGroup
	var mu sync.Mutex
	cut := 0
	for range 6 {
		group.Add(1)
		go func() {
			defer group.Done()
			if !readStream(fronts[0].entry, strings.Repeat("prompt ", promptBytes/7), 20*time.Second, slowEvents, log) {
				mu.Lock()
				cut++
				mu.Unlock()
			}
		}()
	}
	time.Sleep(time.Second)
	log.add("SIGHUP to %s", fronts[0].name)
	if err := fronts[0].command.Process.Signal(syscall.SIGHUP); err != nil {
		return outcome{}, err
	}
	group.Wait()
	log.add("streams cut=%d of 6", cut)
	if cut > 0 {
		return outcome{broken: fmt.Sprintf("LOST: %d of 6 streams that were sent before the SIGHUP ended without a complete answer after it, before their deadline and the route's timeout", cut)}, nil
	}
	return outcome{}, nil
}

// startSlowReader starts a sound runner that begins its answer at the head of a request, reads the
// body after a pause and goes on with its answer meanwhile.
func startSlowReader(s *store, id string, pause time.Duration, log *record) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	u := &runner{id: id, service: "app", address: listener.Addr().String(), born: time.Now().UnixMilli(), ended: make(chan struct{})}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go serveSlowly(c, id, pause, log)
		}
	}()
	go u.heartbeats(s)
	return nil
}

func serveSlowly(c net.Conn, id string, pause time.Duration, log *record) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		request := r.Header.Get("Request-Id")
		if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != id {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", request)
			continue
		}
		log.add("run id=%s runner=%s body=%d", request, id, r.ContentLength)
		read := make(chan error, 1)
		go func() {
			time.Sleep(pause)
			n, err := io.Copy(io.Discard, r.Body)
			log.add("run id=%s has read %d of its body, error=%v", request, n, err)
			read <- err
		}()
		_, err = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Seal: seal.%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", request, id)
		for n := 1; n <= slowEvents && err == nil; n++ {
			event := "id: " + strconv.Itoa(n) + "\ndata: piece " + strconv.Itoa(n) + "\n\n"
			_, err = fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event)
			time.Sleep(slowGap)
		}
		if err == nil {
			_, err = io.WriteString(c, "0\r\n\r\n")
		}
		if failed := <-read; err != nil || failed != nil {
			log.add("run id=%s lost its connection: %v", request, err)
			return
		}
	}
}
