/** Requests and claims for a time, and what the claims took. */
import {build} from 'hdr-histogram-js';
import type {Histogram} from 'hdr-histogram-js';
import {Settlement} from '@turmericbay/types';
import type {BenchmarkFleet} from './fleet.js';

const claimsPerSecondOfInstance = 10;
const requestsPerSecondOfInstance = 20;

export type LoadResult = {
	/** Microseconds on the fake clock from question to answer. */
	readonly claimLatency: Histogram;
	granted: number;
	refused: number;
	acquired: number;
	denied: number;
};

const keyAt = (wall: number, random: () => number) => {
	const time = Math.floor(wall).toString(16).padStart(12, '0');
	const digits = Array.from({length: 18}, () => Math.floor(random() * 16).toString(16)).join('');
	return `${time.slice(0, 8)}-${time.slice(8)}-7${digits.slice(0, 3)}-8${digits.slice(3, 6)}-${digits.slice(6)}`;
};

const runRequest = (bench: BenchmarkFleet, position: number, result: LoadResult) => {
	const {simulation, fleet, teams} = bench;
	const {process, component} = fleet.members[position]!;
	// The square favours a few large teams.
	const team = teams[Math.floor((simulation.random() ** 2) * teams.length)]!;
	if (!component.grants.tryAcquire({team})) {
		result.denied += 1;
		return;
	}

	result.acquired += 1;
	process.after(50 + (simulation.random() * 450), () => {
		component.grants.release({team});
	});
};

const runClaim = async (bench: BenchmarkFleet, position: number, result: LoadResult) => {
	const {simulation, fleet, teams} = bench;
	const {clock, random} = simulation;
	const {process, component} = fleet.members[position]!;
	const request = {key: keyAt(clock.wallMilliseconds(), random), team: teams[Math.floor(random() * teams.length)]!, queue: 'queue'};
	const start = clock.monotonicMilliseconds();
	const decision = await component.claims.claim({...request, fingerprint: new Uint8Array(32)});
	result.claimLatency.recordValue(Math.round((clock.monotonicMilliseconds() - start) * 1000));
	if (decision.type === 'refused') {
		result.refused += 1;
		return;
	}

	result.granted += 1;
	process.after(random() * 500, () => {
		component.claims.settle({...request, attempt: decision.attempt, settlement: Settlement.Run});
	});
};

/** Every instance asks at its mean rate, five times as often in bursts of 2 s each 10 s. */
export const startLoad = (bench: BenchmarkFleet, milliseconds: number): LoadResult => {
	const {simulation, fleet} = bench;
	const {clock, random} = simulation;
	const end = clock.monotonicMilliseconds() + milliseconds;
	const result: LoadResult = {
		claimLatency: build(), granted: 0, refused: 0, acquired: 0, denied: 0,
	};
	const repeat = (rate: number, action: (position: number) => void) => {
		const step = () => {
			if (clock.monotonicMilliseconds() >= end) {
				return;
			}

			const position = Math.floor(random() * fleet.members.length);
			if (fleet.members[position]!.process.isAlive() && !fleet.members[position]!.process.isPaused()) {
				action(position);
			}

			const isBurst = clock.monotonicMilliseconds() % 10_000 < 2000;
			simulation.after(random() * 2000 / (rate * fleet.members.length * (isBurst ? 5 : 1)), step);
		};

		step();
	};

	repeat(requestsPerSecondOfInstance, position => {
		runRequest(bench, position, result);
	});
	repeat(claimsPerSecondOfInstance, position => {
		void runClaim(bench, position, result);
	});
	return result;
};
