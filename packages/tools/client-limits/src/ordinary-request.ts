/** Requests of a client that behaves. */
import {request as createRequest} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import type {Target} from './crowds.js';

export type OrdinaryRequest = {
	readonly method: 'GET' | 'POST';
	readonly path: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly body?: string;
};

const attemptTimeoutMilliseconds = 5000;
const retryDelayMilliseconds = 250;
/** Only ends a wait for a process that no longer answers. */
const maximumWaitMilliseconds = 30_000;

/** Returns the status of a complete response, and undefined if there was none. */
const sendOnce = async (target: Target, {method, path, headers, body}: OrdinaryRequest): Promise<number | undefined> => new Promise(resolve => {
	const outgoing = createRequest({
		...target, method, path, agent: false, headers, signal: AbortSignal.timeout(attemptTimeoutMilliseconds),
	}, response => {
		response.resume();
		response.on('end', () => {
			resolve(response.statusCode);
		});
		response.on('error', () => {
			resolve(undefined);
		});
	});
	outgoing.on('error', () => {
		resolve(undefined);
	});
	outgoing.end(body);
});

/** Repeats the request until its status is accepted. Returns the last status; undefined if there was no response. */
export const sendUntil = async (options: {
	readonly target: Target;
	readonly request: OrdinaryRequest;
	readonly isAccepted: (status: number) => boolean;
	readonly hasEnded: () => boolean;
}): Promise<number | undefined> => {
	const {target, request, isAccepted, hasEnded} = options;
	const deadline = performance.now() + maximumWaitMilliseconds;
	let status: number | undefined;
	while (!hasEnded() && performance.now() < deadline) {
		status = await sendOnce(target, request); // eslint-disable-line no-await-in-loop -- One attempt after the other.
		if (status !== undefined && isAccepted(status)) {
			return status;
		}

		await sleep(retryDelayMilliseconds); // eslint-disable-line no-await-in-loop -- As above.
	}

	return status;
};
