/** Implements the operator service with the document watch, the document review and the status source. */
import {Code, ConnectError} from '@connectrpc/connect';
import type {ServiceImpl} from '@connectrpc/connect';
import {parseDocument, reviewDocument} from '@turmericbay/document';
import type {ObservedFleet} from '@turmericbay/document';
import type {DocumentWatch, HistoryError, SubmitOutcome} from '@turmericbay/document-watch';
import {operatorMessages} from '@turmericbay/peer-protocol';
import type {StatusSource} from './status-source.js';

const {SubmitVerdict: submitVerdicts} = operatorMessages;

export type OperatorServiceOptions = {
	readonly documentWatch: Pick<DocumentWatch, 'current' | 'currentJson' | 'listHistory' | 'readVersion' | 'status' | 'submitDocument' | 'withdrawDocument'>;
	readonly statusSource: StatusSource;
};

/** Response message as a handler may return it: empty fields are omitted. */
type SubmitResponse = {
	verdict: operatorMessages.SubmitVerdict;
	version?: bigint;
	faults?: Array<{path: string; message: string}>;
	confirmed?: string[];
	unconfirmed?: string[];
	message?: string;
};

const toSubmitResponse = (outcome: SubmitOutcome): SubmitResponse => {
	switch (outcome.type) {
		case 'accepted': {
			return {
				verdict: submitVerdicts.ACCEPTED, version: BigInt(outcome.version), confirmed: [...outcome.confirmed], unconfirmed: [...outcome.unconfirmed],
			};
		}

		case 'invalid': {
			return {verdict: submitVerdicts.INVALID, faults: [...outcome.faults]};
		}

		case 'conflict': {
			return {verdict: submitVerdicts.CONFLICT, version: BigInt(outcome.version), message: outcome.message};
		}

		case 'not-applied': {
			return {verdict: submitVerdicts.NOT_APPLIED, message: outcome.message};
		}

		case 'outcome-unknown': {
			return {verdict: submitVerdicts.OUTCOME_UNKNOWN, message: outcome.message};
		}
	}
};

const toConnectError = ({code, message}: HistoryError): ConnectError => {
	switch (code) {
		case 'HISTORY_UNAVAILABLE': {
			return new ConnectError(message, Code.Unavailable);
		}

		case 'VERSION_NOT_FOUND': {
			return new ConnectError(message, Code.NotFound);
		}

		case 'VERSION_UNREADABLE': {
			return new ConnectError(message, Code.FailedPrecondition);
		}
	}
};

const observeFleet = (statusSource: StatusSource): ObservedFleet => ({
	runningByTeam: new Map(statusSource.teams().map(({team, running}) => [team, running])),
	instancesByPool: new Map(statusSource.pools().map(({pool, instances}) => [pool, instances])),
});

/** Rounds up, so that a confirmation is never reported as more recent than it is. */
const toConfirmationAge = (age: number | undefined): {confirmationAgeMs?: bigint} => age === undefined ? {} : {confirmationAgeMs: BigInt(Math.ceil(age))};

const createStatusHandlers = ({documentWatch, statusSource}: OperatorServiceOptions) => ({
	async getStatus() {
		await statusSource.refresh();
		return {
			entryInstances: statusSource.entryInstances().map(({documentVersion, confirmationAgeMilliseconds, ...report}) => ({
				...report, documentVersion: BigInt(documentVersion), ...toConfirmationAge(confirmationAgeMilliseconds),
			})),
			pools: [...statusSource.pools()],
			teams: [...statusSource.teams()],
			documentFault: documentWatch.status().fault,
		};
	},
	async getMaintenanceStatus() {
		const {steps, failedInstances, ...report} = statusSource.maintenance();
		return {...report, steps: [...steps], failedInstances: [...failedInstances]};
	},
});

/**
 * Creates the handlers. They do not check the operators' token;
 * `createOperatorHandler` of the peer protocol does so before it calls them.
 */
export const createOperatorService = (options: OperatorServiceOptions): ServiceImpl<typeof operatorMessages.OperatorService> => {
	const {documentWatch, statusSource} = options;
	return {
		async submitDocument({documentJson, reviewedVersion, changeId, author}) {
			return toSubmitResponse(await documentWatch.submitDocument({
				text: documentJson, reviewedVersion: Number(reviewedVersion), changeId, author,
			}));
		},
		async reviewDocument({documentJson}) {
			await statusSource.refresh();
			const current = documentWatch.current();
			const currentVersion = BigInt(current?.version ?? 0);
			return parseDocument({text: documentJson}).match(
				next => {
					const {changes, warnings} = reviewDocument({current: current?.document, next, observed: observeFleet(statusSource)});
					return {
						currentVersion, faults: [], changes: [...changes], warnings: [...warnings],
					};
				},
				faults => ({
					currentVersion, faults: [...faults], changes: [], warnings: [],
				}),
			);
		},
		async withdrawDocument({reviewedVersion, changeId, author}) {
			return toSubmitResponse(await documentWatch.withdrawDocument({reviewedVersion: Number(reviewedVersion), changeId, author}));
		},
		async showDocument({version}) {
			if (version === 0n) {
				const envelopeJson = documentWatch.currentJson();
				if (envelopeJson === '') {
					throw new ConnectError('there is no document yet', Code.NotFound);
				}

				return {envelopeJson};
			}

			const stored = await documentWatch.readVersion({version: Number(version)});
			if (stored.isErr()) {
				throw toConnectError(stored.error);
			}

			return {envelopeJson: JSON.stringify(stored.value)};
		},
		async listHistory() {
			const history = await documentWatch.listHistory();
			if (history.isErr()) {
				throw toConnectError(history.error);
			}

			return {entries: history.value.map(entry => ({...entry, version: BigInt(entry.version)}))};
		},
		...createStatusHandlers(options),
	};
};
