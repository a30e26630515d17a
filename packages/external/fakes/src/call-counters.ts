/** Counts calls to the platform by caller and operation. */

export type CallCounts = Readonly<Record<string, Readonly<Record<string, number>>>>;

export type CallCounters = {
	count(call: {readonly caller: string; readonly operation: string}): void;
	/** Calls since the last reset: caller, then operation. */
	read(): CallCounts;
	reset(): void;
};

export const createCallCounters = (): CallCounters => {
	const counts = new Map<string, Map<string, number>>();
	return {
		count({caller, operation}) {
			const byOperation = counts.get(caller) ?? new Map<string, number>();
			byOperation.set(operation, (byOperation.get(operation) ?? 0) + 1);
			counts.set(caller, byOperation);
		},
		read: () => Object.fromEntries([...counts].map(([caller, byOperation]) => [caller, Object.fromEntries(byOperation)])),
		reset() {
			counts.clear();
		},
	};
};
