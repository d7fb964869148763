package simulator

import (
	"net/http"
	"strings"

	"curlewspool/internal/protocol"
)

// ServeAPI connects the controllers' interface for users and machines to the network.
func (c *Cluster) ServeAPI() {
	for _, name := range c.controllerNames {
		c.handlers[c.address(apiHost(name))] = c.Controllers[name].serveAPI
	}
}

// serveAPI answers users and machines. Without a free socket the connection fails at once.
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
		p.Controller.Poll(id, replyToUser)
	}
}
