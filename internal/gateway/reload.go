package gateway

import (
	"reflect"

	"github.com/clovertiller/clovertiller/internal/events"
)

// Reload takes over the settings that may change while the process runs: the
// seeds. Faulty ones change nothing; what needs a restart is named in the log.
func (g *Gateway) Reload(settings Settings) {
	if faults := settings.Check(); len(faults) > 0 {
		g.log.Log(events.SettingsRefused, events.Fields{"faults": faults})
		return
	}
	settings.SetDefaults()
	g.relays.mutex.Lock()
	g.relays.selector.SetSeeds(settings.Seeds)
	g.relays.mutex.Unlock()
	g.limits.SetServers(settings.Seeds)
	g.schedulers.setSchedulers(settings.Seeds)
	g.log.Log(events.SettingsReloaded, events.Fields{"seeds": len(settings.Seeds), "need_restart": g.settings.needRestart(settings)})
}

// needRestart names the settings that differ and hold only from a start on.
func (s Settings) needRestart(changed Settings) []string {
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
