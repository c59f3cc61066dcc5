// Package gdpump reads a socket until it is closed.
//
// # Usage
//
//	err := gdpump.Run(ctx, gdbatch.NewReader(conn, size), failed, func(now time.Time, n int) {
//		...
//	})
package gdpump

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"

	"godwitdrift.example/godwitdrift/internal/wire/gdbatch"
)

// Run hands each batch of n datagrams to handle, with the time at which it came. It
// returns when the socket is closed or the context has ended; other errors of a read
// are counted by failed, since the next read may succeed.
func Run(ctx context.Context, in *gdbatch.Reader, failed func(), handle func(now time.Time, n int)) error {
	for {
		n, err := in.Read()
		if err == nil {
			handle(time.Now(), n)
			continue
		}
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		failed()
	}
}
