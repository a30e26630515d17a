/** Selects the dispatchers of a zone, and the dispatcher of each worker. */
import {createHash} from 'node:crypto';

/** Owners of smaller fleets call all workers directly. */
export const defaultLargestDirectFleet = 64;
/** Processor time that is set aside at a dispatcher for one call, in milliseconds of a core. */
const millisecondsPerCall = 0.4;
/** Share of its processor time that a dispatcher uses for worker calls at most; the rest is for its callers. */
const maximumUtilization = 0.4;

export type Candidate = {readonly name: string; readonly cores: number};

/** Cores needed for a rate of calls, in calls a second. */
export const computeRequiredCores = (callsPerSecond: number): number => callsPerSecond * millisecondsPerCall / 1000 / maximumUtilization;

/** Takes the candidates with the most cores until they have the required cores together; at least one. */
export const selectDispatchers = <Instance extends Candidate>(candidates: readonly Instance[], requiredCores: number): Instance[] => {
	const selected: Instance[] = [];
	let cores = 0;
	for (const candidate of candidates.toSorted((left, right) => right.cores - left.cores || (left.name < right.name ? -1 : 1))) {
		if (selected.length > 0 && cores >= requiredCores) {
			break;
		}

		selected.push(candidate);
		cores += candidate.cores;
	}

	return selected;
};

/** Pseudo-random number in (0, 1): the first 32 bits of SHA-256. */
const hashToUnitInterval = (text: string): number => (createHash('sha256').update(text).digest().readUInt32BE(0) + 0.5) / 0x1_00_00_00_00;

/**
 * Weighted rendezvous hashing with the cores as weight: each candidate gets a share of the workers in
 * proportion to its cores, and a change of the candidates moves only the workers of the changed ones.
 * Source: Schindelhauer and Schomaker, "Weighted distributed hash tables" (2005), logarithmic method.
 */
export const chooseDispatcher = <Instance extends Candidate>(worker: string, candidates: readonly Instance[]): Instance | undefined => {
	let best: {readonly candidate: Instance; readonly score: number} | undefined;
	for (const candidate of candidates) {
		const score = -candidate.cores / Math.log(hashToUnitInterval(`${worker}|${candidate.name}`));
		if (!best || score > best.score) {
			best = {candidate, score};
		}
	}

	return best?.candidate;
};
