package gateway_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/gateway"
)

func TestReloadAppliesSeedsAndReportsSettingsNeedingRestart(t *testing.T) {
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	var started gateway.Settings
	r := f.router("r1", func(settings *gateway.Settings) { started = *settings })
	changed := started
	changed.Seeds = []string{"127.0.0.1:9"}
	r.Reload(changed)
	f.g.Expect(r.log.String()).To(ContainSubstring(`"event":803,"level":"info","msg":"settings reloaded","need_restart":[],"node":"r1","seeds":1`))
	changed.ConfigLease, changed.RetryShare = 9*time.Second, 0.5
	r.Reload(changed)
	f.g.Expect(r.log.String()).To(ContainSubstring(`"need_restart":["ConfigLease","RetryShare"]`))
	changed.RetryShare = 7
	r.Reload(changed)
	f.g.Expect(r.log.String()).To(And(ContainSubstring(`"event":806`), ContainSubstring("retry share: must be between 0 and 1")))
}
