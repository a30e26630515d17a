/**
 * Logs changes of state that no single call reports: a system that compares
 * the present state with the one of its last run.
 */
import type {Logger} from '@turmericbay/telemetry';
import {LogEvent} from '@turmericbay/telemetry';
import type {EntryInstanceParts} from './entry-instance.js';

/** A document that is older than this without a confirmation no longer admits keyed work by default. */
const confirmationBoundMilliseconds = 5000;

export type ObservedParts = Pick<EntryInstanceParts, 'claims' | 'documentWatch' | 'fleet' | 'gateway' | 'grants' | 'session'>;

type Observation = {
	readonly isConfirmed: boolean;
	readonly isMemoryMode: boolean;
	readonly partitions: number;
	readonly reclaimedUnits: number;
	readonly ledgerError: string | undefined;
	readonly sessionId: string | undefined;
	readonly ejected: ReadonlySet<string>;
	readonly failed: ReadonlySet<string>;
};

const observe = ({claims, documentWatch, fleet, gateway, grants, session}: ObservedParts): Observation => ({
	isConfirmed: (documentWatch.confirmationAgeMilliseconds() ?? 0) <= confirmationBoundMilliseconds,
	isMemoryMode: claims.status().memoryMode,
	partitions: claims.status().owned.length,
	reclaimedUnits: grants.counters().reclaimedUnits,
	ledgerError: grants.lastError()?.code,
	sessionId: session.sessionId(),
	ejected: new Set(gateway.status().upstreams.filter(({isEjected}) => isEjected).map(({instance}) => instance)),
	failed: new Set(fleet.ledger.state()?.failures.map(({instance}) => instance)),
});

const listAdded = (before: ReadonlySet<string>, after: ReadonlySet<string>): readonly string[] =>
	[...after].filter(instance => !before.has(instance));

const logSets = (logger: Logger, before: Observation, after: Observation): void => {
	for (const upstream of listAdded(before.ejected, after.ejected)) {
		logger.log(LogEvent.UpstreamEjected, {upstream});
	}

	for (const upstream of listAdded(after.ejected, before.ejected)) {
		logger.log(LogEvent.UpstreamRestored, {upstream});
	}

	for (const failedInstance of listAdded(before.failed, after.failed)) {
		logger.log(LogEvent.InstanceFailureRecorded, {failedInstance});
	}

	if (before.failed.size === 0 && after.failed.size > 0) {
		logger.log(LogEvent.MaintenanceStopped, {failedInstances: [...after.failed]});
	}
};

const logCounts = (logger: Logger, before: Observation, after: Observation): void => {
	if (after.partitions !== before.partitions) {
		logger.log(LogEvent.PartitionsChanged, {partitions: after.partitions, before: before.partitions});
	}

	if (after.reclaimedUnits > before.reclaimedUnits) {
		logger.log(LogEvent.GrantReclaimed, {units: after.reclaimedUnits - before.reclaimedUnits});
	}

	if (after.ledgerError !== undefined && before.ledgerError === undefined) {
		logger.log(LogEvent.GrantLedgerFailed, {code: after.ledgerError});
	}
};

const logModes = (logger: Logger, before: Observation, after: Observation): void => {
	if (before.isConfirmed !== after.isConfirmed) {
		logger.log(after.isConfirmed ? LogEvent.ConfirmationRegained : LogEvent.ConfirmationLost);
	}

	if (after.isMemoryMode && !before.isMemoryMode) {
		logger.log(LogEvent.ClaimsInMemory);
	}

	if (before.sessionId !== undefined && after.sessionId !== before.sessionId) {
		logger.log(LogEvent.SessionLost);
	}
};

/** Returns the system; call it each second. */
export const createStateLog = ({parts, logger}: {readonly parts: ObservedParts; readonly logger: Logger}): (() => void) => {
	let before = observe(parts);
	return () => {
		const after = observe(parts);
		logModes(logger, before, after);
		logCounts(logger, before, after);
		logSets(logger, before, after);
		before = after;
	};
};
