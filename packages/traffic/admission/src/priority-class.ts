/** Start-time fair queueing among the flows of one priority class, urgent or regular. */

type Flow<Entry> = {
	share: number;
	/** Start tag of the head entry, in virtual time. */
	startTag: number;
	blocked: boolean;
	/** Entries in arrival order from index `head`; removed ones are skipped when they become the head. */
	readonly waiting: Entry[];
	readonly removed: Set<Entry>;
	head: number;
};

export type PriorityClass<Entry> = {
	add(options: {readonly flow: string; readonly share: number; readonly entry: Entry; readonly blocked: boolean}): void;
	/** Next entry to be served; undefined if all flows are empty or blocked. */
	peek(): Entry | undefined;
	/** Removes the head of a flow and advances the virtual time. */
	dequeue(name: string): void;
	remove(name: string, entry: Entry): void;
	setBlocked(name: string, blocked: boolean): void;
	length(): number;
	countEntriesAhead(options: {readonly flow: string; readonly share: number}): number;
	/** Like `countEntriesAhead`, assuming that all flows that are backlogged now stay backlogged. */
	countEntriesAheadUnderSustainedLoad(options: {readonly flow: string; readonly share: number}): number;
};

/** A flow is compacted once it has at least this many served and removed entries and they make up half of its array. */
const compactionThreshold = 32;

const countEntries = <Entry>(flow: Flow<Entry>): number => flow.waiting.length - flow.head - flow.removed.size;

/** Moves the head past removed entries. Amortized constant time: each entry is skipped at most once. */
const skipRemovedEntries = <Entry>(flow: Flow<Entry>): Entry | undefined => {
	while (flow.head < flow.waiting.length && flow.removed.delete(flow.waiting[flow.head]!)) {
		flow.head++;
	}

	return flow.waiting[flow.head];
};

const compact = <Entry>(flow: Flow<Entry>): void => {
	const discardedCount = flow.head + flow.removed.size;
	if (discardedCount < compactionThreshold || discardedCount * 2 < flow.waiting.length) {
		return;
	}

	const remaining = flow.waiting.slice(flow.head).filter(entry => !flow.removed.has(entry));
	flow.waiting.splice(0, flow.waiting.length, ...remaining);
	flow.removed.clear();
	flow.head = 0;
};

export const createPriorityClass = <Entry>(): PriorityClass<Entry> => {
	const flows = new Map<string, Flow<Entry>>();
	let total = 0;
	let virtualTime = 0;
	let largestFinishTag = 0;

	/** When the class becomes idle, all flows are reset: the next busy period starts without credit or debt. */
	const endBusyPeriod = (): void => {
		if (total === 0) {
			virtualTime = largestFinishTag;
			flows.clear();
		}
	};

	const nextFlow = (): Flow<Entry> | undefined => {
		let next: Flow<Entry> | undefined;
		for (const flow of flows.values()) {
			if (!flow.blocked && (next === undefined || flow.startTag < next.startTag) && countEntries(flow) > 0) {
				next = flow;
			}
		}

		return next;
	};

	const getOrCreateFlow = (name: string, share: number, blocked: boolean): Flow<Entry> => {
		const flow = flows.get(name) ?? {
			share, startTag: virtualTime, blocked, waiting: [], removed: new Set(), head: 0,
		};
		flows.set(name, flow);
		return flow;
	};

	return {
		add({flow: name, share, entry, blocked}) {
			const flow = getOrCreateFlow(name, share, blocked);
			flow.share = share;
			if (countEntries(flow) === 0) {
				flow.startTag = Math.max(flow.startTag, virtualTime);
			}

			flow.waiting.push(entry);
			total++;
		},
		peek() {
			const flow = nextFlow();
			return flow === undefined ? undefined : skipRemovedEntries(flow);
		},
		dequeue(name) {
			const flow = flows.get(name)!;
			skipRemovedEntries(flow);
			flow.head++;
			total--;
			virtualTime = Math.max(virtualTime, flow.startTag);
			flow.startTag += 1 / flow.share;
			largestFinishTag = Math.max(largestFinishTag, flow.startTag);
			compact(flow);
			endBusyPeriod();
		},
		remove(name, entry) {
			const flow = flows.get(name)!;
			flow.removed.add(entry);
			total--;
			compact(flow);
			endBusyPeriod();
		},
		setBlocked(name, blocked) {
			const flow = flows.get(name);
			if (flow !== undefined) {
				flow.blocked = blocked;
				// Time in the blocked state earns no credit; otherwise the flow would starve all others afterwards.
				flow.startTag = Math.max(flow.startTag, virtualTime);
			}
		},
		length: () => total,
		countEntriesAhead({flow: name, share}) {
			const own = flows.get(name);
			const ownLength = own === undefined ? 0 : countEntries(own);
			const headStartTag = Math.max(own?.startTag ?? 0, virtualTime);
			const startTag = headStartTag + (ownLength / share);
			let ahead = ownLength;
			for (const flow of flows.values()) {
				if (flow !== own && !flow.blocked) {
					const servedEarlier = Math.ceil((startTag - flow.startTag) * flow.share);
					ahead += Math.min(countEntries(flow), Math.max(0, servedEarlier));
				}
			}

			return ahead;
		},
		countEntriesAheadUnderSustainedLoad({flow: name, share}) {
			const own = flows.get(name);
			let totalShare = share;
			for (const flow of flows.values()) {
				totalShare += flow !== own && !flow.blocked && countEntries(flow) > 0 ? flow.share : 0;
			}

			const ownLength = own === undefined ? 0 : countEntries(own);
			return Math.ceil((ownLength + 1) * totalShare / share) - 1;
		},
	};
};
