/** Keys and formats of the records of operators and workers in the simulated store. */
import type {Configuration, PlatformRecordCodec} from '@turmericbay/job-service';
import type {WorkerRegistration} from '@turmericbay/scheduler';

export const configurationKey = 'operator/configuration';
export const workerPrefix = 'workers/';
export const wavePrefix = 'operator/waves/';
export const evacuationPrefix = 'operator/evacuations/';

/* eslint-disable @typescript-eslint/no-unsafe-type-assertion -- Written by this program. */
export const createRecordCodec = (getConfiguration: () => Configuration): PlatformRecordCodec => ({
	configurationKey, workerPrefix, wavePrefix, evacuationPrefix,
	decodeConfiguration: entry => ({...getConfiguration(), version: Number(entry.value)}),
	decodeWorker: entry => JSON.parse(entry.value) as WorkerRegistration,
	decodeEvacuation: entry => entry.key.slice(evacuationPrefix.length),
	decodeWave: entry => JSON.parse(entry.value) as ReturnType<PlatformRecordCodec['decodeWave']>,
	encodeWaveStatus: ({wave, isCompleted}) => ({key: `status/${wave}`, value: String(isCompleted)}),
});
/* eslint-enable @typescript-eslint/no-unsafe-type-assertion */
