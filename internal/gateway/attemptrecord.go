package gateway

import (
	"strconv"
	"strings"

	"github.com/clovertiller/clovertiller/internal/httpconn"
)

// attemptRecord describes an attempt of a call in logs.
type attemptRecord struct {
	// target is the runner, or the router to which the call was forwarded.
	target string
	// connected is set once the attempt has a connection.
	connected  bool
	connection httpconn.Connection
	// detail describes the attempts that the target made itself.
	detail string
}

// beginAttempt begins an attempt of the call at a runner or another router.
func (c *call) beginAttempt(target string) {
	c.attemptState.BeginDispatch(target)
	c.attempts = append(c.attempts, attemptRecord{target: target})
}

// recordConnection records over which connection the current attempt is sent.
func (c *call) recordConnection(connection httpconn.Connection) {
	current := &c.attempts[len(c.attempts)-1]
	current.connected, current.connection = true, connection
}

// String returns the target and the connection of the attempt.
func (r attemptRecord) String() string {
	words := []string{r.target}
	switch {
	case !r.connected:
		words = append(words, "no connection")
	case !r.connection.Kept:
		words = append(words, "new connection")
	default:
		words = append(words, "kept connection")
	}
	return strings.Join(words, " ")
}

// describeAttempts returns, for each attempt, its number, its target, its connection and what proves that it did not run.
func (c *call) describeAttempts() (lines []string) {
	proofs := c.attemptState.Proofs()
	for i, record := range c.attempts {
		line := strconv.Itoa(i+1) + " " + record.String() + ": " + proofs[i].Kind().String()
		if record.detail != "" {
			line += " (" + record.detail + ")"
		}
		lines = append(lines, line)
	}
	return lines
}

// countProofs counts what proves that the attempts of a refused call did not run.
func (c *call) countProofs() {
	for _, proof := range c.attemptState.Proofs() {
		c.gateway.metrics.refusalProofs.WithLabelValues(c.service, proof.Kind().String()).Inc()
	}
}
