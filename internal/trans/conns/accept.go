package conns

import (
	"net"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
)

const (
	// acceptPause is the wait after a failed accept.
	acceptPause = 20 * time.Millisecond
	// acceptLogPeriod is the least time between two lines about failed accepts.
	acceptLogPeriod = time.Second
)

// patientListener is a listener that goes on after errors.
type patientListener struct {
	net.Listener
	logger  zerolog.Logger
	onError func()
}

// Patient returns a listener whose Accept fails only once the listener is closed. After other
// errors, for example if no descriptors are left, it waits, logs and goes on. onError is called
// for each; it may be nil.
func Patient(l net.Listener, logger zerolog.Logger, onError func()) net.Listener {
	return &patientListener{l, logger.Sample(&zerolog.BurstSampler{Burst: 1, Period: acceptLogPeriod}), onError}
}

// Accept waits for and returns the next connection.
func (l *patientListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return c, err
		}
		l.logger.Warn().Err(err).Str("address", l.Addr().String()).Msg("conns: accept failed, trying again")
		if l.onError != nil {
			l.onError()
		}
		time.Sleep(acceptPause)
	}
}
