package service

import (
	"errors"
	"slices"
	"time"

	"bendtrestle/internal/admin"
	"bendtrestle/internal/disabledservers"
)

// Reasons why an operator's call on a zone is refused. The admin server answers with these texts.
var (
	errZonesOff = errors.New("zones are off: the operators' file is to say on = true under [zones]")
	errLastZone = errors.New("no zone would remain; the last one is not left")
)

// Zones returns the state of all zones.
func (h *adminHandler) Zones() ([]admin.Zone, error) {
	zones := h.service.zones
	if zones == nil {
		return nil, errZonesOff
	}
	var all []admin.Zone
	err := h.onLoop(func() error {
		now := zones.now()
		for _, zone := range zones.controller.Statuses(now) {
			all = append(all, admin.Zone{
				Zone:                   zone.Zone,
				State:                  zone.State.String(),
				Share:                  zone.Share,
				StateSeconds:           now - max(zone.Since, h.service.lifecycle.startedAt),
				ByOperator:             zone.OperatorOverride,
				Servers:                zone.Servers,
				RoutersWithoutAnswer:   zone.VotesAgainst,
				RoutersWithLaterAnswer: zone.VotesFor,
				RoutersHeard:           zone.RoutersHeard,
				RecentEvacuations:      zone.RecentEvacuations,
				Reason:                 zone.Reason,
			})
		}
		return nil
	})
	return all, err
}

// EvacuateZone evacuates a zone until RestoreZone. It fails if no other zone would serve all of its keys.
func (h *adminHandler) EvacuateZone(zone string) error {
	zones := h.service.zones
	until := time.Now().Add(lockWaitTimeout)
	if zones == nil {
		return errZonesOff
	}
	err := h.onLoop(func() error { return zones.evacuate(zone) })
	if err != nil {
		return err
	}
	err = zones.file.Update(zone, true, until)
	if err == nil {
		return nil
	}
	if errors.Is(err, disabledservers.ErrLocalOnly) {
		h.service.log.Error().Err(err).Str("zone", zone).
			Msg("the zone is evacuated in this process, but the change cannot be saved for other processes")
		return err
	}
	saved := zones.file.IDs() // nothing was written, so the zone does not stay evacuated
	h.service.loop.Post(func() { zones.applyEvacuated(saved) })
	return err
}

// evacuate evacuates a zone on behalf of an operator.
func (a *zoneAdapter) evacuate(zone string) error {
	if !a.controller.Tracked(zone) {
		return admin.ErrUnknownZone
	}
	if !a.controller.SetOperatorOverride(a.now(), zone, true) {
		return errLastZone
	}
	a.evacuated[zone] = true
	a.applyChanges()
	return nil
}

// RestoreZone begins the recovery of a zone, whether an operator or the failover evacuated it.
func (h *adminHandler) RestoreZone(zone string) error {
	zones := h.service.zones
	until := time.Now().Add(lockWaitTimeout)
	if zones == nil {
		return errZonesOff
	}
	// The file may also name a zone that this process could not evacuate because it was the last.
	saved := slices.Contains(zones.file.IDs(), zone)
	if !saved {
		return h.onLoop(func() error { return zones.startRecovery(zone) })
	}
	if err := zones.file.Update(zone, false, until); err != nil {
		return err
	}
	err := h.onLoop(func() error { // runs after the set without the zone is applied, which the registry has posted
		// The failover itself may also have evacuated the zone; otherwise this does nothing.
		zones.controller.StartRecovery(zones.now(), zone)
		zones.applyChanges()
		return nil
	})
	if err != nil {
		return errSavedNotApplied
	}
	return nil
}

// startRecovery begins the recovery of a zone.
func (a *zoneAdapter) startRecovery(zone string) error {
	if !a.controller.StartRecovery(a.now(), zone) {
		return admin.ErrUnknownZone
	}
	a.applyChanges()
	return nil
}
