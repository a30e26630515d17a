/**
 * The fleet state in the platform's store and a local copy of it, which never
 * returns to an earlier fleet revision.
 */
import type {KeyValueStore, Revision, StoredEntry} from '@turmericbay/types';
import type {ReportEvent} from './events.js';
import {createEmptyState, decodeState, encodeState} from './state.js';
import type {FleetState} from './state.js';

export type StateStore = {
	current(): FleetState | undefined;
	/** Reads the store; false if the local copy could not be confirmed as current. */
	refresh(): Promise<boolean>;
	/** Replaces the state that `current` returned; false if another one is stored or the response was lost. */
	replace(next: FleetState): Promise<boolean>;
	/** True if `replace` can be called without another read. */
	isWritable(): boolean;
	adopt(next: FleetState): boolean;
};

export const createStateStore = (options: {key: string; store: Pick<KeyValueStore, 'read' | 'transact'>; report: ReportEvent}): StateStore => {
	const {key, store, report} = options;
	let state: FleetState | undefined;
	/** Store revision at which `state` was written; undefined if the next write requires a read first. */
	let storeRevision: number | undefined;

	const adopt = (next: FleetState): boolean => {
		if (state && next.revision < state.revision) {
			report({type: 'state-went-back', message: `the store has fleet revision ${next.revision}, older than ${state.revision} known before; keeping revision ${state.revision}`});
			return false;
		}

		state = next;
		return true;
	};

	const adoptEntry = (entry: StoredEntry | undefined): boolean => {
		if (!entry) {
			storeRevision = 0;
			return adopt(createEmptyState());
		}

		return decodeState(entry.value).match(next => {
			storeRevision = entry.modifiedRevision;
			return adopt(next);
		}, error => {
			report({type: 'state-malformed', message: `${key} at store revision ${entry.modifiedRevision}: ${error.message}`});
			return false;
		});
	};

	/**
	 * Checks the revision in a transaction without operations, to avoid reading the
	 * value every second: it has 400 KB at the target fleet size.
	 */
	const isUnchangedSince = async (modifiedRevision: Revision): Promise<boolean> => {
		const result = await store.transact({conditions: [{key, modifiedRevision}], operations: []});
		return result.isOk() && result.value.type === 'committed';
	};

	return {
		current: () => state,
		isWritable: () => storeRevision !== undefined,
		adopt,
		async refresh() {
			if (state !== undefined && storeRevision !== undefined && await isUnchangedSince(storeRevision)) {
				return true;
			}

			storeRevision = undefined;
			const result = await store.read({key});
			if (result.isErr()) {
				report({type: 'store-failed', message: `cannot read ${key}: ${result.error.message}`});
				return false;
			}

			const isAdopted = adoptEntry(result.value);
			storeRevision = isAdopted ? storeRevision : undefined;
			return isAdopted;
		},
		async replace(next) {
			if (storeRevision === undefined) {
				return false;
			}

			const conditions = [{key, modifiedRevision: storeRevision}];
			// After a lost response or a conflict, the next write requires a read first.
			storeRevision = undefined;
			const result = await store.transact({conditions, operations: [{type: 'put', key, value: encodeState(next)}]});
			if (result.isErr()) {
				report({type: 'store-failed', message: `cannot write fleet revision ${next.revision} to ${key}: ${result.error.message}`});
				return false;
			}

			if (result.value.type !== 'committed' || !adopt(next)) {
				return false;
			}

			storeRevision = result.value.revision;
			report({type: 'written', revision: next.revision});
			return true;
		},
	};
};
