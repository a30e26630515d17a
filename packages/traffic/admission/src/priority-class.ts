/** Flows of one urgency with their virtual time; part of the fair queue. */

type Flow<Entry> = {
	share: number;
	/** Virtual time at which the head may start. */
	startTag: number;
	blocked: boolean;
	/** First in, first out; removed entries are skipped when they reach the head. */
	readonly waiting: Entry[];
	readonly removed: Set<Entry>;
	head: number;
};

export type PriorityClass<Entry> = {
	add(options: {readonly flow: string; readonly share: number; readonly entry: Entry; readonly blocked: boolean}): void;
	/** Head of the flow that is served next; undefined if all flows are empty or blocked. */
	peek(): Entry | undefined;
	/** Serves the head of a flow. */
	dequeue(name: string): void;
	remove(name: string, entry: Entry): void;
	setBlocked(name: string, blocked: boolean): void;
	length(): number;
	countEntriesAhead(options: {readonly flow: string; readonly share: number}): number;
	/** Like `entriesAhead`, if all flows that have entries now go on having some. */
	countEntriesAheadUnderSustainedLoad(options: {readonly flow: string; readonly share: number}): number;
};

/** Served and removed entries are kept up to this many before a flow is compacted. */
const compactionThreshold = 32;

const countEntries = <Entry>(flow: Flow<Entry>): number => flow.waiting.length - flow.head - flow.removed.size;

/** Moves the head past removed entries; amortized constant time, since each entry is passed once. */
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

	/** An idle class starts a new busy period, in which no flow owes or is owed anything. */
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
				// Time spent without a unit earns no credit; otherwise the team would crowd out all others afterwards.
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
