/**
 * Authorization of one request as a pure function. It is decided on arrival
 * and again at the moment of sending, since a request can wait in a queue or
 * the process can be paused in between.
 */
import {QueueAccess, UnconfirmedAction} from '@turmericbay/document';
import type {ConfigurationDocument, QueueDeclaration} from '@turmericbay/document';
import {ProblemCode, millisecondsPerSecond} from '@turmericbay/types';
import type {Problem, QueueName, TeamName} from '@turmericbay/types';

/** Age of the last confirmation up to which keyed work is accepted. */
export const maximumConfirmationAgeMilliseconds = 5000;

/** What the check of the presented key said. */
export type KeyCheckResult
	= | {readonly type: 'missing'}
		| {readonly type: 'rejected'}
		| {readonly type: 'accepted'; readonly team: TeamName};

export type AuthorizationDecision
	= | {
		readonly type: 'allowed';
		readonly queue: QueueDeclaration;
		/** Undefined on queues open to all: no team limit applies. */
		readonly team: TeamName | undefined;
		/** Weight in the fair queue. */
		readonly share: number;
	}
	| {readonly type: 'refused'; readonly problem: Problem};

/** Weight of the callers of one open queue taken together. */
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
