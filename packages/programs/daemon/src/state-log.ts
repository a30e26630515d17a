/**
 * Logs state changes that no component reports as an event, by comparing the
 * state with that of the previous run.
 */
import type {Logger} from '@turmericbay/telemetry';
import {LogEvent} from '@turmericbay/telemetry';
import type {EntryInstanceComponents} from './entry-instance.js';

/** By default, requests that need a team key are refused once the document has not been confirmed for this long. */
const maximumConfirmationAgeMilliseconds = 5000;

export type ObservedComponents = Pick<EntryInstanceComponents, 'claims' | 'documentWatch' | 'fleet' | 'gateway' | 'grants' | 'session'>;

type StateSnapshot = {
	readonly isConfirmed: boolean;
	readonly isMemoryMode: boolean;
	readonly partitions: number;
	readonly reclaimedUnits: number;
	readonly ledgerError: string | undefined;
	readonly sessionId: string | undefined;
	readonly ejected: ReadonlySet<string>;
	readonly failed: ReadonlySet<string>;
};

const takeSnapshot = ({claims, documentWatch, fleet, gateway, grants, session}: ObservedComponents): StateSnapshot => ({
	isConfirmed: (documentWatch.confirmationAgeMilliseconds() ?? 0) <= maximumConfirmationAgeMilliseconds,
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

const logInstanceChanges = (logger: Logger, before: StateSnapshot, after: StateSnapshot): void => {
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

const logCounterChanges = (logger: Logger, before: StateSnapshot, after: StateSnapshot): void => {
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

const logModeChanges = (logger: Logger, before: StateSnapshot, after: StateSnapshot): void => {
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

/** Returns the function to run every second. */
export const createStateLog = ({components, logger}: {readonly components: ObservedComponents; readonly logger: Logger}): (() => void) => {
	let before = takeSnapshot(components);
	return () => {
		const after = takeSnapshot(components);
		logModeChanges(logger, before, after);
		logCounterChanges(logger, before, after);
		logInstanceChanges(logger, before, after);
		before = after;
	};
};
