/** The evacuated zones that the owner has read, applied to its scheduler and reported to metrics. */
import type {Scheduler} from '@turmericbay/scheduler';
import type {KeyValueStore} from '@turmericbay/types';
import {createEvacuationSource} from './evacuation-source.js';
import type {OwnerLog} from './owner-log.js';
import type {Clock, PlatformRecordCodec} from './ports.js';

export const createOwnedEvacuations = (options: {
	readonly store: KeyValueStore;
	readonly recordCodec: PlatformRecordCodec;
	readonly clock: Clock;
	/** Undefined where zones are not evacuated: then nothing is read, and tasks may always start. */
	readonly evacuationMilliseconds: number | undefined;
	readonly scheduler: Scheduler;
	readonly onChange: () => void;
	readonly log: OwnerLog;
}) => {
	const {store, recordCodec, clock, evacuationMilliseconds, scheduler, onChange, log} = options;
	const source = evacuationMilliseconds === undefined
		? undefined
		: createEvacuationSource({
			store, recordCodec, clock, evacuationMilliseconds,
			onChange(zones) {
				scheduler.setEvacuatedZones(zones, clock.now());
				onChange();
			},
			onMeasure() {
				log.evacuationsMeasured(scheduler.measureEvacuations(clock.now()));
			},
			onUnreadable: log.recordUnreadable,
			onFailure(message) {
				log.storeCallFailed('evacuations', message);
			},
		});
	return {
		/** Checked directly before each start. */
		isConfirmed: (): boolean => source?.isConfirmed() ?? true,
		tick(): void {
			source?.tick();
		},
		end(): void {
			source?.stop();
			if (source) {
				log.evacuationsMeasured([]);
			}
		},
	};
};
