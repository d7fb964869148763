package simulator

import (
	"net"
	"net/http"
	"sync"
	"time"

	"curlewspool/internal/protocol"
)

// Times and limits of the load balancer.
const (
	probeInterval      = time.Second
	probeTimeout       = time.Second
	forwardTimeout     = 5 * time.Second
	maxForwardAttempts = 3
	pathHealthCheck    = "/up"

	// maxFailedProbes is the largest number of consecutive failures with which a controller still
	// receives requests.
	maxFailedProbes = 1
)

// LoadBalancer forwards each request of the users of a live cluster to a healthy controller.
// It also records the descriptions of submitted jobs for the simulated machines. For real machines,
// users upload the descriptions to the place from which the machines fetch them.
type LoadBalancer struct {
	Address string

	live         *LiveNetwork
	cluster      *Cluster
	addresses    []string // addresses of the controllers
	mu           sync.Mutex
	failedProbes map[string]int // consecutive failed probes and unanswered requests, by address; no entry before the first
	lastIndex    int            // index of the address that was chosen last
}

// StartLoadBalancer starts the load balancer of a cluster. It fails if there is no free port.
func (l *LiveNetwork) StartLoadBalancer(cluster *Cluster) (*LoadBalancer, error) {
	balancer := &LoadBalancer{live: l, cluster: cluster, failedProbes: map[string]int{}}
	for _, name := range cluster.controllerNames {
		balancer.addresses = append(balancer.addresses, cluster.apiAddress(name))
	}
	listener, err := net.Listen("tcp4", loopbackAnyPort)
	if err != nil {
		return nil, err
	}
	balancer.Address = l.serve(listener, func(method, path string, body []byte, answer func(response)) {
		answer(balancer.forward(method, path, body))
	})
	go balancer.probeControllers()
	return balancer, nil
}

// probeControllers checks the health of each controller every probeInterval until Run ends.
func (b *LoadBalancer) probeControllers() {
	for {
		for _, address := range b.addresses {
			answer := b.live.exchange(address, http.MethodGet, pathHealthCheck, nil, probeTimeout)
			b.recordProbe(address, answer.status == http.StatusOK)
		}
		select {
		case <-b.live.done:
			return
		case <-time.After(probeInterval):
		}
	}
}

func (b *LoadBalancer) recordProbe(address string, healthy bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if healthy {
		b.failedProbes[address] = 0
	} else {
		b.failedProbes[address]++
	}
}

// HealthyControllers returns the number of controllers whose last probe succeeded and that have
// not failed to answer a request since.
func (b *LoadBalancer) HealthyControllers() (count int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, address := range b.addresses {
		if failures, probed := b.failedProbes[address]; probed && failures == 0 {
			count++
		}
	}
	return count
}

// forward sends a request to a controller, and to others if that one does not answer. It
// answers 503 if none does.
func (b *LoadBalancer) forward(method, path string, body []byte) response {
	if method == http.MethodPost && path == pathJobs {
		b.recordJob(body)
	}
	for range maxForwardAttempts {
		address := b.nextAddress()
		if answer := b.live.exchange(address, method, path, body, forwardTimeout); answer.status != noAnswer {
			return answer
		}
		b.recordProbe(address, false)
	}
	return response{http.StatusServiceUnavailable, protocol.Encode(&protocol.ErrorResponse{Error: "no controller answers"})}
}

// recordJob records the description of a submitted job, if it is valid and new.
func (b *LoadBalancer) recordJob(body []byte) {
	var submission protocol.Submission
	if !protocol.IsMap(body) || protocol.Decode(body, &submission) != nil {
		return
	}
	job, err := submission.Validate()
	if err != nil {
		return
	}
	b.live.Do(func() {
		if b.cluster.jobs[job.ID] == nil {
			b.cluster.jobs[job.ID] = job
		}
	})
}

// nextAddress selects controllers round-robin. It skips those with more than maxFailedProbes
// failures, unless all have more.
func (b *LoadBalancer) nextAddress() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastIndex++
	address := b.addresses[b.lastIndex%len(b.addresses)]
	for skipped := 0; skipped < len(b.addresses) && b.failedProbes[address] > maxFailedProbes; skipped++ {
		b.lastIndex++
		address = b.addresses[b.lastIndex%len(b.addresses)]
	}
	return address
}
