/** Measures for how long a connection has delivered no line while this process was running. */
import {checkIntervalMilliseconds, silenceMilliseconds} from './dispatch-protocol.js';

/** Two checks count as at most this long: after a stall of this process, the lines that arrived meanwhile are read after the check. */
const maximumStepMilliseconds = 2 * checkIntervalMilliseconds;

export const createSilenceMonitor = (startedAt: number) => {
	let silence = 0;
	let checkedAt = startedAt;
	return {
		recordLine(): void {
			silence = 0;
		},
		/** Called at each check; returns true if the connection has been silent for too long. */
		check(now: number): boolean {
			silence += Math.min(now - checkedAt, maximumStepMilliseconds);
			checkedAt = now;
			return silence >= silenceMilliseconds;
		},
	};
};
