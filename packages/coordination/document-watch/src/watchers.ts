/** Chooses the instances of a zone that hold a watch, by rendezvous hashing. */
import {createHash} from 'node:crypto';
import type {InstanceId} from '@turmericbay/types';
import type {EntryInstance} from './ports.js';

/** Two, so that one lost watcher delays nobody. */
export const watchersPerZone = 2;

const score = ({instance, zone}: EntryInstance): string => createHash('sha256').update(`document-watch\n${zone}\n${instance}`).digest('hex');

/** The watchers of a zone; every instance that sees the same list comes to the same result. */
export const chooseWatchers = ({zone, live}: {readonly zone: string; readonly live: readonly EntryInstance[]}): readonly InstanceId[] => live
	.filter(candidate => candidate.zone === zone)
	.map(candidate => ({instance: candidate.instance, rank: score(candidate)}))
	.toSorted((left, right) => left.rank < right.rank ? -1 : 1)
	.slice(0, watchersPerZone)
	.map(({instance}) => instance);
