/** Operator calls on the document, mapped to the document watch. */
import {Code, ConnectError} from '@connectrpc/connect';
import type {SubmitOutcome} from '@turmericbay/document-watch';
import {operatorMessages} from '@turmericbay/peer-protocol';
import type {OperatorServiceImplementation} from '@turmericbay/peer-protocol';
import type {EntryInstanceParts} from './entry-instance.js';

const describeSubmit = (outcome: SubmitOutcome) => {
	switch (outcome.type) {
		case 'accepted': {
			return {
				verdict: operatorMessages.SubmitVerdict.ACCEPTED, version: BigInt(outcome.version), confirmed: [...outcome.confirmed], unconfirmed: [...outcome.unconfirmed],
			};
		}

		case 'invalid': {
			return {verdict: operatorMessages.SubmitVerdict.INVALID, faults: [...outcome.faults]};
		}

		case 'conflict': {
			return {verdict: operatorMessages.SubmitVerdict.CONFLICT, version: BigInt(outcome.version), message: outcome.message};
		}

		case 'not-applied': {
			return {verdict: operatorMessages.SubmitVerdict.NOT_APPLIED, message: outcome.message};
		}

		case 'outcome-unknown': {
			return {verdict: operatorMessages.SubmitVerdict.OUTCOME_UNKNOWN, message: outcome.message};
		}
	}
};

const notServed = () => {
	throw new ConnectError('This version does not serve the call', Code.Unimplemented);
};

export const createOperatorService = ({documentWatch}: EntryInstanceParts): OperatorServiceImplementation => ({
	async submitDocument({documentJson, reviewedVersion, changeId, author}) {
		return describeSubmit(await documentWatch.submitDocument({
			text: documentJson, reviewedVersion: Number(reviewedVersion), changeId, author,
		}));
	},
	async withdrawDocument({reviewedVersion, changeId, author}) {
		return describeSubmit(await documentWatch.withdrawDocument({reviewedVersion: Number(reviewedVersion), changeId, author}));
	},
	showDocument: () => ({envelopeJson: documentWatch.currentJson()}),
	reviewDocument: notServed,
	listHistory: notServed,
	getStatus: notServed,
	getMaintenanceStatus: notServed,
});
