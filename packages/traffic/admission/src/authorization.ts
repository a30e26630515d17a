/**
 * Decides whether a request may use a queue. Pure function, called on arrival
 * and again right before sending: in between, the request may have waited in a
 * queue or the process may have been paused.
 */
import {QueueAccess, UnconfirmedAction} from '@turmericbay/document';
import type {ConfigurationDocument, QueueDeclaration} from '@turmericbay/document';
import {ProblemCode, millisecondsPerSecond} from '@turmericbay/types';
import type {Problem, QueueName, TeamName} from '@turmericbay/types';

/**
 * Requests that need a team key are accepted up to this age of the last
 * confirmation that the configuration document in use is the newest version: a
 * withdrawn key stops working within this time of an instance being cut off.
 */
export const maximumConfirmationAgeMilliseconds = 5000;

/** Result of checking the key that the caller sent. */
export type KeyCheckResult
	= | {readonly type: 'missing'}
		| {readonly type: 'rejected'}
		| {readonly type: 'accepted'; readonly team: TeamName};

export type AuthorizationDecision
	= | {
		readonly type: 'allowed';
		readonly queue: QueueDeclaration;
		/** Undefined on open queues, which need no key and have no team limit. */
		readonly team: TeamName | undefined;
		/** Weight of the team in the fair queue. */
		readonly share: number;
	}
	| {readonly type: 'refused'; readonly problem: Problem};

/** Weight of one open queue in the fair queue; all its callers share it. */
const openQueueShare = 1;

const refuse = (code: ProblemCode, detail: string, retryAfterSeconds?: number): AuthorizationDecision => ({
	type: 'refused',
	problem: retryAfterSeconds === undefined ? {code, detail} : {code, detail, retryAfterSeconds},
});

const isRecentlyConfirmed = (queue: QueueDeclaration, ageMilliseconds: number | undefined): boolean => {
	if (ageMilliseconds === undefined) {
		return false;
	}

	const {whenUnconfirmed} = queue;
	const extension = whenUnconfirmed.action === UnconfirmedAction.Serve
		? whenUnconfirmed.seconds * millisecondsPerSecond
		: 0;
	return ageMilliseconds <= maximumConfirmationAgeMilliseconds + extension;
};

const authorizeTeam = (options: {
	readonly document: ConfigurationDocument;
	readonly queue: QueueDeclaration;
	readonly team: TeamName;
	readonly confirmationAgeMilliseconds: number | undefined;
}): AuthorizationDecision => {
	const {document, queue, team, confirmationAgeMilliseconds} = options;
	const declaration = Object.hasOwn(document.teams, team) ? document.teams[team] : undefined;
	if (declaration === undefined) {
		return refuse(ProblemCode.KeyRejected, 'Present a valid key of a team.');
	}

	if (!isRecentlyConfirmed(queue, confirmationAgeMilliseconds)) {
		return refuse(ProblemCode.ConfigurationUnconfirmed, 'Retry, preferably at another entry instance.', 1);
	}

	if (queue.teams.length > 0 && !queue.teams.includes(team)) {
		return refuse(ProblemCode.TeamNotAllowed, 'Ask the operators to list the team on this queue.');
	}

	return {
		type: 'allowed', queue, team, share: declaration.share,
	};
};

export const authorize = (options: {
	readonly document: ConfigurationDocument;
	readonly queueName: QueueName;
	readonly keyCheck: KeyCheckResult;
	readonly confirmationAgeMilliseconds: number | undefined;
}): AuthorizationDecision => {
	const {document, queueName, keyCheck, confirmationAgeMilliseconds} = options;
	const queue = Object.hasOwn(document.queues, queueName) ? document.queues[queueName] : undefined;
	if (queue === undefined) {
		return refuse(ProblemCode.QueueUnknown, 'Check the queue name in the path.');
	}

	if (queue.access === QueueAccess.Open) {
		return {
			type: 'allowed', queue, team: undefined, share: openQueueShare,
		};
	}

	switch (keyCheck.type) {
		case 'missing': {
			return refuse(ProblemCode.KeyMissing, 'Send the header Authorization: Bearer <key>.');
		}

		case 'rejected': {
			return refuse(ProblemCode.KeyRejected, 'Present a valid key of a team.');
		}

		case 'accepted': {
			return authorizeTeam({
				document, queue, team: keyCheck.team, confirmationAgeMilliseconds,
			});
		}
	}
};
