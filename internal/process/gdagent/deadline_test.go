package gdagent

import (
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/process/gdnode"
)

// TestReadDeadlineMoves: a deadline in the past unblocks a waiting read, and reads work
// again once it is moved. It closed the connection for good before.
func TestReadDeadlineMoves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCallerConn(nil, nil, 1, 1)
		read := make(chan error)
		start := func() {
			go func() {
				_, _, err := c.ReadFrom(make([]byte, 100))
				read <- err
			}()
			synctest.Wait()
		}
		start()
		require.NoError(t, c.SetReadDeadline(time.Now()))
		require.ErrorIs(t, <-read, os.ErrDeadlineExceeded)
		start()
		require.ErrorIs(t, <-read, os.ErrDeadlineExceeded, "still in the past")

		require.NoError(t, c.SetReadDeadline(time.Now().Add(time.Second)))
		before := time.Now()
		start()
		require.ErrorIs(t, <-read, os.ErrDeadlineExceeded)
		require.Equal(t, time.Second, time.Since(before))

		require.NoError(t, c.SetReadDeadline(time.Now().Add(time.Second)))
		start()
		require.NoError(t, c.SetReadDeadline(time.Time{}))
		time.Sleep(time.Minute)
		buf := gdnode.GetBuffer()
		c.ring <- inboundDatagram{buf: buf, data: buf[:0]}
		require.NoError(t, <-read, "no deadline any more")
	})
}
