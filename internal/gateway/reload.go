package gateway

import (
	"reflect"

	"github.com/clovertiller/clovertiller/internal/events"
)

// Reload applies the settings that may change while the process runs, which are the seeds. If
// the settings are invalid, nothing changes. Changed settings that need a restart are logged.
func (g *Gateway) Reload(settings Settings) {
	if faults := settings.Check(); len(faults) > 0 {
		g.log.Log(events.SettingsRefused, events.Fields{"faults": faults})
		return
	}
	settings.SetDefaults()
	g.peerRouters.mutex.Lock()
	g.peerRouters.selector.SetSeeds(settings.Seeds)
	g.peerRouters.mutex.Unlock()
	g.limits.SetServers(settings.Seeds)
	g.schedulers.setSchedulers(settings.Seeds)
	g.spawn(g.streams.synchronize)
	g.streams.stored.wakeRosterLoop()
	g.log.Log(events.SettingsReloaded, events.Fields{"seeds": len(settings.Seeds), "need_restart": g.settings.changedNeedingRestart(settings)})
}

// changedNeedingRestart returns the names of the changed settings that take effect only after a
// restart.
func (s Settings) changedNeedingRestart(changed Settings) []string {
	changed.Seeds = s.Seeds
	before, after := reflect.ValueOf(s), reflect.ValueOf(changed)
	names := []string{}
	for i := range before.NumField() {
		if !reflect.DeepEqual(before.Field(i).Interface(), after.Field(i).Interface()) {
			names = append(names, before.Type().Field(i).Name)
		}
	}
	return names
}
