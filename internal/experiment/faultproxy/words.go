package faultproxy

import (
	"net"
	"net/netip"
	"slices"
	"time"
)

// wordsRelay stands for one router at another: what the other sends to it goes on to the router, and comes there from the
// relay that stands for the sender.
type wordsRelay struct {
	n      *Net
	of, at int // the router it stands for, and the one that knows it by this address
	conn   *net.UDPConn
	back   *wordsRelay // stands for the router at's own at the other
	real   netip.AddrPort
}

// Words puts relays between all pairs of routers. address gives where one router is known to another, real where it listens.
func (n *Net) Words(routers int, address func(of, at int) string, real func(router int) string) error {
	all := map[[2]int]*wordsRelay{}
	for of := range routers {
		to, err := netip.ParseAddrPort(real(of))
		if err != nil {
			return err
		}
		for at := range routers {
			if of == at {
				continue
			}
			here, err := netip.ParseAddrPort(address(of, at))
			if err != nil {
				return err
			}
			conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(here))
			if err != nil {
				return err
			}
			w := &wordsRelay{n: n, of: of, at: at, conn: conn, real: to}
			all[[2]int{of, at}] = w
			n.words = append(n.words, w)
		}
	}
	for _, w := range n.words {
		w.back = all[[2]int{w.at, w.of}]
		n.wg.Add(1)
		go w.carry()
	}
	return nil
}

func (w *wordsRelay) close() { w.conn.Close() }

// carry passes on what router at sends to router of.
func (w *wordsRelay) carry() {
	defer w.n.wg.Done()
	buf := make([]byte, 2048)
	for {
		size, _, err := w.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		e := w.n.effect(End{Kind: Router, N: w.at}, End{Kind: Router, N: w.of})
		lost := e.Cut || e.Lose > 0 && w.n.draw() < e.Lose
		w.n.noteWord(Word{At: w.n.now(), From: w.at, To: w.of, Bytes: size, Lost: lost})
		if lost {
			continue
		}
		text := slices.Clone(buf[:size])
		w.send(text, e.Delay+e.Spread*w.n.draw())
		if e.Double > 0 && w.n.draw() < e.Double {
			w.send(text, e.Delay+e.Spread+0.5*w.n.draw())
		}
	}
}

func (w *wordsRelay) send(text []byte, after float64) {
	send := func() { w.back.conn.WriteToUDPAddrPort(text, w.real) } // one that cannot be sent is lost, as it may be anywhere
	if after <= 0 {
		send()
		return
	}
	time.AfterFunc(seconds(after), send)
}
