package stager

import (
	"cmp"

	"github.com/dotterelrill/dotterelrill/modeller"
)

// Evacuate takes a data centre out of service, or withdraws that order.
type Evacuate struct {
	DataCentre modeller.DataCentreName
	// Withdrawn is true if the data centre is put back into service.
	Withdrawn bool `cbor:",omitzero"`
	// After is DataCentre.Changed of the state that the order is meant to change, or zero if
	// it does not name one.
	After modeller.Millis `cbor:",omitzero"`
}

// DataCentre is what is known of a data centre. Its times are in Unix milliseconds.
type DataCentre struct {
	// Evacuated is when the evacuation in force was ordered; zero means that the data
	// centre is in service.
	Evacuated modeller.Millis `cbor:",omitzero"`
	// Restored is when the last evacuation was withdrawn; zero means that none was.
	Restored modeller.Millis `cbor:",omitzero"`
}

// Changed returns when the data centre was last evacuated or restored, or zero if it never
// was. It tells the changes of a data centre apart.
func (dataCentre DataCentre) Changed() modeller.Millis {
	return cmp.Or(dataCentre.Evacuated, dataCentre.Restored)
}

// DataCentres holds the known data centres: those of workers that were ever admitted,
// and those that were ever evacuated.
type DataCentres map[modeller.DataCentreName]DataCentre

// maxKnownDataCentres bounds how many data centres become known through workers, whose
// announcements name them freely. It is far above what a fleet has.
const maxKnownDataCentres = 1000

// Evacuated reports whether nothing may be placed in a data centre.
func (dataCentres DataCentres) Evacuated(name modeller.DataCentreName) bool {
	return dataCentres[name].Evacuated != 0
}

// Ordered reports whether any evacuation is in force or was withdrawn. Where there was
// none, no worker has to be looked up.
func (dataCentres DataCentres) Ordered() bool {
	for _, dataCentre := range dataCentres {
		if dataCentre != (DataCentre{}) {
			return true
		}
	}
	return false
}

// Order carries out an evacuation or its withdrawal. An order that is in force already
// changes nothing, so that the time of the first one is kept. Order does not refuse a
// data centre that is not known: the settings may list it, and replicas of different
// releases may know different ones.
func (dataCentres DataCentres) Order(evacuate *Evacuate, now modeller.Millis) {
	known := dataCentres[evacuate.DataCentre]
	switch {
	case !evacuate.Withdrawn && known.Evacuated == 0:
		known.Evacuated = max(now, 1)
	case evacuate.Withdrawn && known.Evacuated != 0:
		known.Evacuated, known.Restored = 0, max(now, 1)
	}
	dataCentres[evacuate.DataCentre] = known
}

// Learn records the data centre of a worker. The empty name means that a worker does
// not tell its data centre.
func (dataCentres DataCentres) Learn(name modeller.DataCentreName) {
	if _, known := dataCentres[name]; !known && name != "" && len(dataCentres) < maxKnownDataCentres {
		dataCentres[name] = DataCentre{}
	}
}

// evacuate carries out an evacuation or its withdrawal.
func (state *State) evacuate(evacuate *Evacuate) error {
	if evacuate.DataCentre == "" {
		return refuse("an evacuation names no data centre")
	}
	state.DataCentres.Order(evacuate, state.Now)
	return nil
}

// Evacuated reports whether nothing may be placed on a worker because its data centre
// is evacuated.
func (state *State) Evacuated(worker *Worker) bool {
	return state.DataCentres.Evacuated(worker.DataCentre)
}
