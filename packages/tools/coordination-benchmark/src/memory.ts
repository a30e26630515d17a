/** Measures the bytes that one claim takes in the memory of the partition owner and in the store. */
import process from 'node:process';
import {Settlement} from '@turmericbay/types';
import {createBenchmarkFleet} from './fleet.js';

const claimCount = 50_000;

const readHeapBytes = () => {
	globalThis.gc?.();
	return process.memoryUsage().heapUsed;
};

/** Runs one instance that owns all partitions; the stored segments are subtracted from the heap. */
export const measureMemory = async () => {
	const {simulation, fleet} = createBenchmarkFleet({instances: 1, zones: 1, teams: 6}, 1);
	const {claims} = fleet.members[0]!.component;
	await simulation.run(20_000);
	const before = readHeapBytes();
	for (let index = 0; index < claimCount; index += 1) {
		const time = Math.floor(simulation.clock.wallMilliseconds()).toString(16).padStart(12, '0');
		const request = {key: `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${index.toString(16).padStart(12, '0')}`, team: `team-${index % 6}`, queue: 'queue'};
		void claims.claim({...request, fingerprint: new Uint8Array(32)}).then(decision => {
			if (decision.type === 'granted') {
				claims.settle({...request, attempt: decision.attempt, settlement: Settlement.Run});
			}
		});
		if (index % 500 === 499) {
			// eslint-disable-next-line no-await-in-loop -- Spreads the claims over time.
			await simulation.run(20);
		}
	}

	await simulation.run(5000);
	const {bytes} = claims.status().segments;
	// The simulated store keeps the segments in the same heap, where each character takes one byte.
	const heapBytes = (readHeapBytes() - before - bytes) / claims.status().claims;
	return {claims: claims.status().claims, heapBytes, storedBytes: bytes / claims.status().claims};
};
