/** Generates requests and claims and records their outcomes and the claim latency. */
import {build} from 'hdr-histogram-js';
import type {Histogram} from 'hdr-histogram-js';
import {Settlement} from '@turmericbay/types';
import type {BenchmarkFleet} from './fleet.js';

const claimsPerSecondPerInstance = 10;
const requestsPerSecondPerInstance = 20;

export type LoadResult = {
	/** From the call to the decision, on the simulated clock. */
	readonly claimLatencyMicroseconds: Histogram;
	granted: number;
	rejected: number;
	acquired: number;
	unavailable: number;
};

const createKey = (wall: number, random: () => number) => {
	const time = Math.floor(wall).toString(16).padStart(12, '0');
	const digits = Array.from({length: 18}, () => Math.floor(random() * 16).toString(16)).join('');
	return `${time.slice(0, 8)}-${time.slice(8)}-7${digits.slice(0, 3)}-8${digits.slice(3, 6)}-${digits.slice(6)}`;
};

const runRequest = (benchmark: BenchmarkFleet, position: number, result: LoadResult) => {
	const {simulation, fleet, teams} = benchmark;
	const {process, component} = fleet.members[position]!;
	// Squaring the random number gives the teams at the front of the list most of the requests.
	const team = teams[Math.floor((simulation.random() ** 2) * teams.length)]!;
	if (!component.grants.tryAcquire({team})) {
		result.unavailable += 1;
		return;
	}

	result.acquired += 1;
	process.after(50 + (simulation.random() * 450), () => {
		component.grants.release({team});
	});
};

const runClaim = async (benchmark: BenchmarkFleet, position: number, result: LoadResult) => {
	const {simulation, fleet, teams} = benchmark;
	const {clock, random} = simulation;
	const {process, component} = fleet.members[position]!;
	const request = {key: createKey(clock.wallMilliseconds(), random), team: teams[Math.floor(random() * teams.length)]!, queue: 'queue'};
	const start = clock.monotonicMilliseconds();
	const decision = await component.claims.claim({...request, fingerprint: new Uint8Array(32)});
	result.claimLatencyMicroseconds.recordValue(Math.round((clock.monotonicMilliseconds() - start) * 1000));
	if (decision.type === 'refused') {
		result.rejected += 1;
		return;
	}

	result.granted += 1;
	process.after(random() * 500, () => {
		component.claims.settle({...request, attempt: decision.attempt, settlement: Settlement.Run});
	});
};

/** Every instance sends requests and claims at its configured rate, and at five times that rate during 2 of every 10 s. */
export const startLoad = (benchmark: BenchmarkFleet, milliseconds: number): LoadResult => {
	const {simulation, fleet} = benchmark;
	const {clock, random} = simulation;
	const end = clock.monotonicMilliseconds() + milliseconds;
	const result: LoadResult = {
		claimLatencyMicroseconds: build(), granted: 0, rejected: 0, acquired: 0, unavailable: 0,
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

	repeat(requestsPerSecondPerInstance, position => {
		runRequest(benchmark, position, result);
	});
	repeat(claimsPerSecondPerInstance, position => {
		void runClaim(benchmark, position, result);
	});
	return result;
};
