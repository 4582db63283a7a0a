package main

import (
	"net"
	"net/http"
	"os/exec"
	"strconv"
	"time"
)

// caseDescriptors: clients open more connections to a machine than max_fds allows, for some seconds, while another machine is restarted
// as planned. It checks that all machines reach the upstream again afterwards.
func caseDescriptors(f *fleet, trouble bool) (verdict, error) {
	const maxDescriptors, recoverTime = 4100, 15 * time.Second
	f.publish(7, safeRoute("status", "orders"), safeRoute("browse", "catalogue"))
	machines, err := f.deploy("orders", "catalogue", "catalogue")
	if err != nil {
		return verdict{}, err
	}
	crowded, restarted := machines[0], machines[1]
	restarted.bootstrap = false
	limit := strconv.Itoa(maxDescriptors)
	pid := strconv.Itoa(crowded.command.Process.Pid)
	if err := exec.Command("prlimit", "--pid", pid, "--nofile="+limit+":"+limit).Run(); err != nil {
		return verdict{}, err
	}
	var open []net.Conn
	if trouble {
		for range maxDescriptors + 100 {
			conn, err := net.DialTimeout("tcp", crowded.outbound(), connectTimeout)
			if err != nil {
				break
			}
			open = append(open, conn)
		}
	}
	f.rec.log("client  %d connections are open to %s", len(open), crowded.name)
	restarted.stop()
	time.Sleep(300 * time.Millisecond)
	if err := restarted.start(); err != nil {
		return verdict{}, err
	}
	time.Sleep(4 * time.Second)
	for _, conn := range open {
		_ = conn.Close()
	}
	f.rec.log("client  all these connections are closed")
	time.Sleep(recoverTime + 2*time.Second)
	var v verdict
	for _, m := range machines {
		served := 0
		const requests = 12
		for range requests {
			c, err := dial(f.rec, m.outbound())
			if err != nil {
				continue
			}
			if c.do(get("/status/20/400")).status == http.StatusOK {
				served++
			}
			c.close()
			time.Sleep(30 * time.Millisecond)
		}
		f.rec.log("verdict %d of %d requests for orders were served at %s", served, requests, m.name)
		if served < requests/4 {
			v.breach("%d of %d requests for orders were served at %s, more than recover_s after all is calm", served, requests, m.name)
		}
	}
	return v, nil
}
