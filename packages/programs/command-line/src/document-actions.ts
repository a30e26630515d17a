/** Implementation of the document commands, separate from flags and output. */
import {formatDocumentFaults} from '@turmericbay/document';
import {operatorMessages} from '@turmericbay/peer-protocol';
import type {OperatorServiceClient} from '@turmericbay/peer-protocol';
import {z} from 'zod';
import {failUnknownOutcome, toReadFailure, toWriteFailure} from './connection-failures.js';
import {ExitCode, fail, succeed} from './outcome.js';
import type {CommandOutcome} from './outcome.js';
import {formatTable} from './table.js';

const {SubmitVerdict: submitVerdicts} = operatorMessages;

type Faults = ReadonlyArray<{readonly path: string; readonly message: string}>;

export type Change = {
	readonly reviewedVersion: number;
	readonly changeId: string;
	readonly author: string;
	/** True if the operator passed a change identifier, which means that an earlier request may have carried it. */
	readonly isRepeated: boolean;
};

const failInvalidDocument = (faults: Faults): CommandOutcome => fail({
	exitCode: ExitCode.InvalidDocument,
	code: 'INVALID_DOCUMENT',
	message: `the document has ${faults.length} ${faults.length === 1 ? 'fault' : 'faults'}\n${formatDocumentFaults(faults)}`,
	next: 'correct the document and review it again; docs/document.md lists all fields',
	data: {faults: faults.map(({path, message}) => ({path, message}))},
});

const succeedAccepted = ({version, confirmed, unconfirmed}: operatorMessages.SubmitDocumentResponse, changeId: string): CommandOutcome => succeed({
	text: [
		`version ${version} is in force`,
		`confirmed by ${confirmed.join(', ')}`,
		...(unconfirmed.length > 0 ? [`not confirmed by ${unconfirmed.join(', ')}; these receive it within seconds or refuse requests that need a team key until they do`] : []),
	].join('\n'),
	data: {
		version: Number(version), changeId, confirmed, unconfirmed,
	},
});

const toSubmitOutcome = (response: operatorMessages.SubmitDocumentResponse, change: Change): CommandOutcome => {
	const {changeId, isRepeated} = change;
	switch (response.verdict) {
		case submitVerdicts.ACCEPTED: {
			return succeedAccepted(response, changeId);
		}

		case submitVerdicts.INVALID: {
			return failInvalidDocument(response.faults);
		}

		case submitVerdicts.CONFLICT: {
			return fail({
				exitCode: ExitCode.Conflict,
				code: 'CONFLICT',
				message: response.message,
				next: `show it with: turmericbay document show; review your change against it and submit with --reviewed ${response.version}`,
				data: {version: Number(response.version)},
			});
		}

		case submitVerdicts.NOT_APPLIED: {
			// Another entry instance may still be handling the earlier request with this identifier.
			return isRepeated
				? failUnknownOutcome(`${response.message}, and the earlier request may still take effect`, changeId)
				: fail({
					exitCode: ExitCode.Unavailable, code: 'NOT_APPLIED', message: response.message, next: 'nothing has changed; submit again when the platform is reachable (see: turmericbay status)',
				});
		}

		case submitVerdicts.OUTCOME_UNKNOWN:
		case submitVerdicts.UNSPECIFIED: {
			return failUnknownOutcome(response.message, changeId);
		}
	}
};

export const submitDocument = async (client: OperatorServiceClient, {documentJson, ...change}: Change & {readonly documentJson: string}): Promise<CommandOutcome> => {
	const {reviewedVersion, changeId, author} = change;
	try {
		return toSubmitOutcome(await client.submitDocument({
			documentJson, reviewedVersion: BigInt(reviewedVersion), changeId, author,
		}), change);
	} catch (error) {
		return toWriteFailure(error, changeId);
	}
};

export const withdrawDocument = async (client: OperatorServiceClient, change: Change): Promise<CommandOutcome> => {
	const {reviewedVersion, changeId, author} = change;
	try {
		return toSubmitOutcome(await client.withdrawDocument({reviewedVersion: BigInt(reviewedVersion), changeId, author}), change);
	} catch (error) {
		return toWriteFailure(error, changeId);
	}
};

const formatSection = (title: string, lines: readonly string[]): readonly string[] => lines.length === 0 ? [] : [`${title}:`, ...lines.map(line => `  ${line}`)];

export const reviewDocument = async (client: OperatorServiceClient, {documentJson}: {readonly documentJson: string}): Promise<CommandOutcome> => {
	try {
		const {currentVersion, faults, changes, warnings} = await client.reviewDocument({documentJson});
		if (faults.length > 0) {
			return failInvalidDocument(faults);
		}

		return succeed({
			text: [
				`reviewed against version ${currentVersion}`,
				...(changes.length === 0 ? ['no changes'] : formatSection('changes', changes)),
				...formatSection('warnings', warnings),
			].join('\n'),
			note: `submit with --reviewed ${currentVersion}`,
			data: {reviewedVersion: Number(currentVersion), changes, warnings},
		});
	} catch (error) {
		return toReadFailure(error);
	}
};

/** The document itself is not checked and is printed as stored, because a newer version of the program may have written it. */
const storedEnvelopeSchema = z.looseObject({
	version: z.number(), author: z.string(), submittedAt: z.string(), document: z.unknown(),
});

export const showDocument = async (client: OperatorServiceClient, {version}: {readonly version: number}): Promise<CommandOutcome> => {
	try {
		const {envelopeJson} = await client.showDocument({version: BigInt(version)});
		const envelope = storedEnvelopeSchema.parse(JSON.parse(envelopeJson));
		return succeed({
			text: JSON.stringify(envelope.document, undefined, '\t'),
			note: `version ${envelope.version}, submitted by ${envelope.author} at ${envelope.submittedAt}`,
			data: envelope,
		});
	} catch (error) {
		return toReadFailure(error);
	}
};

export const listHistory = async (client: OperatorServiceClient): Promise<CommandOutcome> => {
	try {
		const {entries} = await client.listHistory({});
		const rows = entries.map(({version, submittedAt, author, changeId}) => ({
			version: Number(version), submittedAt, author, changeId,
		}));
		return succeed({
			text: formatTable(['VERSION', 'SUBMITTED', 'AUTHOR', 'CHANGE'], rows.map(row => [row.version, row.submittedAt, row.author, row.changeId])),
			data: {entries: rows},
		});
	} catch (error) {
		return toReadFailure(error);
	}
};
