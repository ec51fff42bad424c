package config

// Descriptors that are kept free for their own users, as many as there may be at most.
const (
	// Standard files 3; epoll and eventfd of the runtime, of netpoll's own poll and of the event loop 6; the loop's other
	// eventfd and its timerfd 2.
	runtimeDescriptors = 11
	// Clients' and peers' listeners.
	listenerDescriptors = 2
	// A hot restart's: the socket for successors, three that ask and one that is rejected, a copy of the clients'
	// socket for each of them; the predecessor.
	hotRestartDescriptors = 9
	// DescriptorsPerWatch is for a list service: six requests and one that is being given up, and as many where the watch
	// is moved to another list service.
	DescriptorsPerWatch = 14
	// Disabled servers and evacuated zones 4 each; the snapshot, a configuration.
	fileDescriptors = 12

	fixedDescriptors = runtimeDescriptors + listenerDescriptors + hotRestartDescriptors + DescriptorsPerWatch +
		fileDescriptors

	// DescriptorsPerListener is for a team's listener: itself, and a copy for each successor that asks.
	DescriptorsPerListener = 4
)

const (
	// maxAdminConnections is several times the dashboards and people that look at one router.
	maxAdminConnections = 24
	// adminExtraDescriptors are the admin server's listener and a connection that is rejected.
	adminExtraDescriptors = 2
	// unsplitDescriptors stay out of the split, as does what the admin server may need at most.
	unsplitDescriptors = 32
	// minSplitDescriptors are split however few there are.
	minSplitDescriptors = 4

	// openRequestBytes is what an open request holds in memory, without its value.
	openRequestBytes = 4 << 10
)

// deriveLimits splits memory and descriptors.
//
// Descriptors: what is fixed, the admin server (its listener, its connections, as many more that are being answered,
// one that is rejected) and what the operators' file names have theirs to themselves. Of the rest, and of all but
// unsplitDescriptors and the admin server's, half go to clients, a sixteenth of that to clients that are rejected,
// three eighths to cache servers: 29 parts of 32. What remains is for connections that are closed and not released
// yet.
//
// Memory: open requests may fill a sixteenth of it, without values; values held for clients an eighth. Values of cache
// servers are bounded by the connections to them.
func (c *Config) deriveLimits() {
	split := c.Descriptors - unsplitDescriptors
	free := c.Descriptors - fixedDescriptors - c.reservedDescriptors
	c.AdminConnections = 0
	if c.AdminListen != "" {
		// Without what is reserved: the admin server stays as it was started, whatever is named later.
		c.AdminConnections = min(maxAdminConnections, max(1, (c.Descriptors-fixedDescriptors)/8))
		split -= maxAdminConnections + adminExtraDescriptors
		free -= 2*c.AdminConnections + adminExtraDescriptors
	}
	split = max(min(split, free*32/29), minSplitDescriptors)
	c.ClientConnections = split / 2
	c.RejectConnections = max(1, c.ClientConnections/16)
	c.UpstreamConnections = split * 3 / 8
	c.MaxConnections = max(free, c.ClientConnections+c.RejectConnections+c.UpstreamConnections)

	c.OpenRequests = c.MemoryBytes / 16 / openRequestBytes
	if c.OpenRequestsCap > 0 {
		c.OpenRequests = min(c.OpenRequests, c.OpenRequestsCap)
	}
	c.HeldBytes = c.MemoryBytes / 8
}

// WithReserved returns the configuration with so many descriptors reserved for what the operators' file names, but
// half of all at most; false: that is less.
func (c Config) WithReserved(descriptors int) (Config, bool) {
	c.reservedDescriptors = min(descriptors, c.Descriptors/2)
	c.deriveLimits()
	return c, c.reservedDescriptors == descriptors
}

// Half returns the configuration of one of two processes of a router that run side by side: the limits are for both.
func (c Config) Half() Config {
	c.Descriptors /= 2
	c.MemoryBytes /= 2
	c.deriveLimits()
	return c
}
