package simulator

import (
	"strings"
)

// CutLink stops the traffic between two addresses. Messages that are sent meanwhile are held
// and delivered by HealLink.
func (n *Network) CutLink(a, b string) {
	n.Trace("cut %s - %s", a, b)
	n.cutLink(a, b)
}

func (n *Network) cutLink(a, b string) {
	n.cuts[link{a, b}] = true
	n.cuts[link{b, a}] = true
}

// HealLink restores a link that was cut and delivers the held messages.
func (n *Network) HealLink(a, b string) {
	n.Trace("heal %s - %s", a, b)
	n.healLink(a, b)
}

func (n *Network) healLink(a, b string) {
	for _, route := range []link{{a, b}, {b, a}} {
		delete(n.cuts, route)
		for _, arrive := range n.heldMessages[route] {
			n.after(n.latency(), arrive)
		}
		delete(n.heldMessages, route)
	}
}

// SetInboundPartition starts or ends an inbound partition of a host: no message reaches it,
// while its own messages arrive.
func (n *Network) SetInboundPartition(address string, partitioned bool) {
	n.Trace("inbound partition of %s: %v", address, partitioned)
	n.inboundPartitioned[address] = partitioned
}

// SetRefusal starts or ends a fault in which a service answers all requests of one host with 503.
func (n *Network) SetRefusal(from, to string, refused bool) {
	n.Trace("%s refuses %s: %v", to, from, refused)
	n.refusals[link{from, to}] = refused
}

// IsolateController cuts a controller off from the store and the other controllers, but not
// from machines and users. The returned function heals the links.
func (c *Cluster) IsolateController(name string) (heal func()) {
	self := c.address(name)
	links := []link{{self, c.address(storeHost)}}
	for _, other := range c.controllerNames {
		if other != name {
			links = append(links, link{self, c.address(other)})
		}
	}
	c.Trace("%s is isolated", name)
	c.cutLinks(links)
	return func() {
		c.Trace("%s is no longer isolated", name)
		c.healLinks(links)
	}
}

// PartitionZone cuts all links between hosts in a zone and hosts outside it. The returned
// function heals the links.
func (c *Cluster) PartitionZone(zone string) (heal func()) {
	var inside []string
	outside := []string{c.address(storeHost), c.address(cloudHost), c.address(userHost)}
	addHosts := func(zoneOfHosts string, hosts ...string) {
		if zoneOfHosts == zone {
			inside = append(inside, hosts...)
		} else {
			outside = append(outside, hosts...)
		}
	}
	for _, name := range c.controllerNames {
		addHosts(c.Controllers[name].settings.Zone, c.address(name), c.address(apiHost(name)))
	}
	for _, id := range c.machineIDs() {
		addHosts(c.Machines[id].zone, c.Machines[id].address)
	}
	var links []link
	for _, a := range inside {
		for _, b := range outside {
			links = append(links, link{a, b})
		}
	}
	c.Trace("zone %s is cut off", zone)
	c.cutLinks(links)
	return func() {
		c.Trace("zone %s is back", zone)
		c.healLinks(links)
	}
}

func (n *Network) cutLinks(links []link) {
	for _, route := range links {
		n.cutLink(route.from, route.to)
	}
}

func (n *Network) healLinks(links []link) {
	for _, route := range links {
		n.healLink(route.from, route.to)
	}
}

// linksBetween returns the links on which the controllers of two clusters call each other.
func linksBetween(a, b *Cluster) (links []link) {
	for _, nameInA := range a.controllerNames {
		for _, nameInB := range b.controllerNames {
			links = append(links,
				link{a.address(nameInA), b.address(federationHost(nameInB))},
				link{b.address(nameInB), a.address(federationHost(nameInA))})
		}
	}
	return links
}

// PartitionClusters cuts the links between two clusters, in both directions or only from a to
// b. Messages that are sent meanwhile are held; the returned function heals the links and
// delivers the messages.
func (n *Network) PartitionClusters(a, b *Cluster, oneWay bool) (heal func()) {
	arrow := "-"
	if oneWay {
		arrow = ">"
	}
	n.Trace("cut %s %s %s", a.Name, arrow, b.Name)
	links := linksBetween(a, b)
	for _, forward := range links {
		for _, route := range []link{forward, {forward.to, forward.from}} {
			if !oneWay || strings.HasPrefix(route.from, a.Name+".") {
				n.cuts[route] = true
			}
		}
	}
	return func() {
		n.Trace("heal %s %s %s", a.Name, arrow, b.Name)
		n.healLinks(links)
	}
}
