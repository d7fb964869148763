package simulator

import (
	"net/http"
	"strings"

	"curlewspool/internal/protocol"
)

// ServeAPI serves the controllers' API for users and machines on the network.
func (c *Cluster) ServeAPI() {
	for _, name := range c.controllerNames {
		c.handlers[c.address(apiHost(name))] = c.Controllers[name].serveAPI
	}
}

// serveAPI answers requests of users and machines. The requests fail at once if no socket is free.
func (p *ControllerProcess) serveAPI(method, path string, body []byte, reply func(int, any)) {
	if p.SocketsExhausted && p.running {
		reply(noAnswer, nil)
		return
	}
	p.execute(p.incarnation, func() { p.routeAPI(method, path, body, reply) })
}

func (p *ControllerProcess) routeAPI(method, path string, body []byte, reply func(int, any)) {
	replyToUser := func(status int, answer any, _ int) { reply(status, answer) }
	id := strings.TrimPrefix(path, pathJob)
	switch {
	case path == pathReport:
		report := &protocol.Report{}
		if protocol.Decode(body, report) != nil {
			reply(http.StatusBadRequest, nil)
			return
		}
		p.Controller.HandleHeartbeat(report, reply)
	case method == http.MethodPost && path == pathJobs:
		p.Controller.Submit(body, 0, replyToUser)
	case method == http.MethodPost:
		p.Controller.Cancel(strings.TrimSuffix(id, cancelSuffix), replyToUser)
	default:
		p.Controller.JobStatus(id, replyToUser)
	}
}
