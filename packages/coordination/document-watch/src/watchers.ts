/** Chooses the instances of a zone that watch the platform, by rendezvous hashing. */
import {createHash} from 'node:crypto';
import type {InstanceId} from '@turmericbay/types';
import type {EntryInstance} from './ports.js';

/** Two, so that the failure of one watcher causes no delay. */
export const watchersPerZone = 2;

const computeRank = ({instance, zone}: EntryInstance): string => createHash('sha256').update(`document-watch\n${zone}\n${instance}`).digest('hex');

/** The watchers of a zone; the same list gives the same result on every instance. */
export const chooseWatchers = ({zone, live}: {readonly zone: string; readonly live: readonly EntryInstance[]}): readonly InstanceId[] => live
	.filter(candidate => candidate.zone === zone)
	.map(candidate => ({instance: candidate.instance, rank: computeRank(candidate)}))
	.toSorted((left, right) => left.rank < right.rank ? -1 : 1)
	.slice(0, watchersPerZone)
	.map(({instance}) => instance);
