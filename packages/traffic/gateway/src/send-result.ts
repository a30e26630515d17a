/** Maps the result of sending a request to the response, the settlement of the claim and the health of the upstream. */
import type {PoolDeclaration} from '@turmericbay/document';
import {AttemptResult} from '@turmericbay/routing';
import {ProblemCode, Settlement} from '@turmericbay/types';
import type {Problem} from '@turmericbay/types';
import type {ResponseHead} from './response-reader.js';
import type {SendResult} from './upstream-client.js';

export type AttemptOutcome
	= | {readonly type: 'answer'; readonly head: ResponseHead; readonly body: Uint8Array}
		| {readonly type: 'streamed'; readonly status: number}
		/** A streamed response was lost after its first bytes had been sent to the caller. */
		| {readonly type: 'cut-while-streaming'}
		/** `retryable`: the request did not run, or it may be run again. */
		| {readonly type: 'problem'; readonly problem: Problem; readonly retryable: boolean};

export type AttemptReport = {
	readonly outcome: AttemptOutcome;
	readonly settlement: Settlement;
};

export const createRefusedOutcome = (problem: Problem): AttemptOutcome => ({type: 'problem', problem, retryable: false});

export const createProblemReport = (settlement: Settlement, problem: Problem, retryable: boolean): AttemptReport =>
	({outcome: {type: 'problem', problem, retryable}, settlement});

const firstServerError = 500;

/** Classifies the result for the health of the upstream. */
export const classifyResult = (result: SendResult, hadEnoughTime: boolean): AttemptResult => {
	switch (result.type) {
		case 'answer': {
			return result.head.status < firstServerError ? AttemptResult.Success : AttemptResult.Failure;
		}

		case 'streamed': {
			return AttemptResult.Success;
		}

		case 'not-sent': {
			return result.reason === 'connect-failed' ? AttemptResult.Failure : AttemptResult.Neutral;
		}

		case 'cut':
		case 'crossed': {
			return AttemptResult.Failure;
		}

		case 'timeout': {
			return hadEnoughTime ? AttemptResult.Failure : AttemptResult.Neutral;
		}
	}
};

/** Whether the upstream may still be running the request although its response is lost. */
export const mayStillRun = (result: SendResult): boolean =>
	result.type === 'cut' || result.type === 'crossed' || result.type === 'timeout';

const createUnknownReport = (code: ProblemCode, detail: string, retryable: boolean): AttemptReport =>
	createProblemReport(Settlement.Unknown, {code, detail}, retryable);

/** The outcome `not-run` is reported only for a status that the pool lists in `notRunStatuses`. */
export const interpretResult = (result: Exclude<SendResult, {type: 'not-sent'}>, pool: PoolDeclaration, repeatable: boolean): AttemptReport => {
	switch (result.type) {
		case 'answer': {
			const {status} = result.head;
			return pool.notRunStatuses.includes(status)
				? createProblemReport(Settlement.NotRun, {code: ProblemCode.NoUpstream, detail: `The upstream refused with status ${status}; retry later.`, retryAfterSeconds: 1}, repeatable)
				: {outcome: result, settlement: Settlement.Run};
		}

		case 'streamed': {
			return {outcome: result, settlement: Settlement.Run};
		}

		case 'crossed': {
			return createUnknownReport(ProblemCode.UpstreamFailed, 'The upstream answered another request; this one may have run.', repeatable);
		}

		case 'cut': {
			return result.streaming
				? {outcome: {type: 'cut-while-streaming'}, settlement: Settlement.Unknown}
				: createUnknownReport(result.responseStarted ? ProblemCode.AnswerIncomplete : ProblemCode.UpstreamFailed, 'The request may have run.', repeatable);
		}

		case 'timeout': {
			return result.streaming
				? {outcome: {type: 'cut-while-streaming'}, settlement: Settlement.Unknown}
				: createUnknownReport(ProblemCode.UpstreamTimeout, 'The request may have run; its deadline has passed.', false);
		}
	}
};
