/**
 * The fleet state in the platform's store and the newest copy of it here.
 * The copy never goes back to an earlier fleet revision.
 */
import type {KeyValueStore, Revision, StoredEntry} from '@turmericbay/types';
import type {ReportEvent} from './events.js';
import {createEmptyState, decodeState, encodeState} from './state.js';
import type {FleetState} from './state.js';

export type StateStore = {
	current(): FleetState | undefined;
	/** Reads the store; false if the copy could not be confirmed. */
	refresh(): Promise<boolean>;
	/** Replaces what `current` showed; false if that was no longer stored or the answer was lost. */
	replace(next: FleetState): Promise<boolean>;
	/** True if `replace` may be tried without reading first. */
	isWritable(): boolean;
	adopt(next: FleetState): boolean;
};

export const createStateStore = (options: {key: string; store: Pick<KeyValueStore, 'read' | 'transact'>; report: ReportEvent}): StateStore => {
	const {key, store, report} = options;
	let state: FleetState | undefined;
	/** Store revision at which `state` was written; undefined if it has to be read before the next write. */
	let storeRevision: number | undefined;

	const adopt = (next: FleetState): boolean => {
		if (state && next.revision < state.revision) {
			report({type: 'state-went-back', message: `offered fleet revision ${next.revision} is older than ${state.revision}; keeping the newer one`});
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
			report({type: 'state-malformed', message: error.message});
			return false;
		});
	};

	/**
	 * Asks whether the value was written since, by a transaction without
	 * operations: at the target the value has 400 KB and is read each second.
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
				report({type: 'store-failed', message: result.error.message});
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
			// After a lost answer or a conflict the store is read again before the next write.
			storeRevision = undefined;
			const result = await store.transact({conditions, operations: [{type: 'put', key, value: encodeState(next)}]});
			if (result.isErr()) {
				report({type: 'store-failed', message: result.error.message});
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
