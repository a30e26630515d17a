/** Client of the owner for its workers: calls them through dispatchers, and directly where there is none or where it fails. */
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import type {CallOutcome, RequestedCall} from './dispatch-connection.js';
import type {DispatcherDirectory} from './dispatcher-directory.js';
import type {
	Clock, WorkerCallError, WorkerClient, WorkerResponse, WorkerTarget,
} from './ports.js';
import {WorkerCallErrorKind} from './ports.js';

/** A worker that its dispatcher cannot reach is called directly for this time: the dispatcher itself may be cut off from it. */
const directMilliseconds = 5000;

export enum CallRoute {
	Direct = 'direct',
	Dispatched = 'dispatched',
}

/** Counts calls by route and outcome; the outcome is `answered` or the kind of the error. */
export type CountCall = (route: CallRoute, outcome: string) => void;

const lostError: WorkerCallError = {kind: WorkerCallErrorKind.Unknown, message: 'the connection to the dispatcher was lost'};

export const createDispatchedWorkerClient = (options: {
	readonly direct: WorkerClient;
	readonly directory: DispatcherDirectory;
	readonly clock: Clock;
	/** Undefined for a worker that is not known. */
	readonly getZone: (worker: string) => string | undefined;
	/** True once this owner calls no workers any more. */
	readonly isEnded: () => boolean;
	readonly countCall: CountCall;
}): WorkerClient => {
	const {direct, directory, clock, getZone, isEnded, countCall} = options;
	/** Times until which workers are called directly. */
	const directUntil = new Map<string, number>();

	const isDirect = (worker: string): boolean => {
		const until = directUntil.get(worker);
		if (until !== undefined && clock.now() >= until) {
			directUntil.delete(worker);
			return false;
		}

		return until !== undefined;
	};

	/** Returns undefined if the worker has to be called directly. */
	const dispatch = async (call: RequestedCall): Promise<Exclude<CallOutcome, {type: 'unsent'}> | undefined> => {
		const {id} = call.options.worker;
		const zone = getZone(id);
		const connection = zone === undefined || isDirect(id) ? undefined : directory.route(id, zone);
		if (!connection) {
			return undefined;
		}

		const outcome = await connection.call(call);
		if (outcome.type === 'unsent') {
			return isEnded() ? {type: 'lost'} : undefined;
		}

		countCall(CallRoute.Dispatched, outcome.type === 'failed' ? outcome.error.kind : outcome.type);
		return outcome;
	};

	const callDirectly = async <Response>(call: () => Promise<Result<Response, WorkerCallError>>): Promise<Result<Response, WorkerCallError>> => {
		const result = await call();
		countCall(CallRoute.Direct, result.isOk() ? 'answered' : result.error.kind);
		return result;
	};

	const toResult = (outcome: Exclude<CallOutcome, {type: 'unsent'}>): Result<WorkerResponse, WorkerCallError> => {
		switch (outcome.type) {
			case 'lost': {
				return err(lostError);
			}

			case 'failed': {
				return err(outcome.error);
			}

			case 'answered': {
				return ok(outcome.response);
			}
		}
	};

	return {
		async start(call) {
			const outcome = await dispatch({method: 'start', options: call});
			if (!outcome) {
				return callDirectly(async () => direct.start(call));
			}

			switch (outcome.type) {
				case 'lost': {
					return err(lostError);
				}

				case 'failed': {
					// The worker has not been called, so it does not count as unreachable; the task is placed again.
					return outcome.isDropped ? ok({rejection: 'late', clockMilliseconds: 0, incarnation: undefined}) : err(outcome.error);
				}

				case 'answered': {
					const {rejection, clockMilliseconds, incarnation} = outcome.response;
					return ok({rejection, clockMilliseconds, incarnation});
				}
			}
		},
		async stop(call) {
			const outcome = await dispatch({method: 'stop', options: call});
			return outcome ? toResult(outcome) : callDirectly(async () => direct.stop(call));
		},
		async throttle(call) {
			const outcome = await dispatch({method: 'throttle', options: call});
			return outcome ? toResult(outcome) : callDirectly(async () => direct.throttle(call));
		},
		async heartbeat(call) {
			const outcome = await dispatch({method: 'heartbeat', options: call});
			if (!outcome) {
				return callDirectly(async () => direct.heartbeat(call));
			}

			if (outcome.type === 'answered' && outcome.report) {
				const {clockMilliseconds, incarnation} = outcome.response;
				return ok({clockMilliseconds, incarnation, report: outcome.report});
			}

			if (outcome.type === 'failed' && outcome.error.kind !== WorkerCallErrorKind.NotSent && outcome.error.kind !== WorkerCallErrorKind.Unknown) {
				return err(outcome.error);
			}

			if (isEnded()) {
				return err(lostError);
			}

			if (outcome.type === 'failed') {
				directUntil.set(call.worker.id, clock.now() + directMilliseconds);
			}

			// Without a wait: the session extends the lease again after the response, and part of the lease has passed.
			return callDirectly(async () => direct.heartbeat({...call, waitMilliseconds: 0}));
		},
		disconnect(worker: WorkerTarget): void {
			directUntil.delete(worker.id);
			direct.disconnect(worker);
			directory.forget(worker);
		},
	};
};
