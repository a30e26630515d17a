/** Amounts of the three resources that workers provide and jobs need. */
export type Resources = {
	/** Cores; fractions are allowed. */
	readonly processors: number;
	readonly memoryGigabytes: number;
	/** Whole devices, which are never oversubscribed. */
	readonly accelerators: number;
};

export const resourceNames = ['processors', 'memoryGigabytes', 'accelerators'] as const;
export type ResourceName = typeof resourceNames[number];

export const noResources: Resources = {processors: 0, memoryGigabytes: 0, accelerators: 0};

export const addResources = (left: Resources, right: Resources, factor = 1): Resources => ({
	processors: left.processors + (factor * right.processors),
	memoryGigabytes: left.memoryGigabytes + (factor * right.memoryGigabytes),
	accelerators: left.accelerators + (factor * right.accelerators),
});

export const maximumResources = (left: Resources, right: Resources): Resources => ({
	processors: Math.max(left.processors, right.processors),
	memoryGigabytes: Math.max(left.memoryGigabytes, right.memoryGigabytes),
	accelerators: Math.max(left.accelerators, right.accelerators),
});

export const squareResources = ({processors, memoryGigabytes, accelerators}: Resources): Resources =>
	({processors: processors ** 2, memoryGigabytes: memoryGigabytes ** 2, accelerators: accelerators ** 2});

const divide = (part: number, whole: number) => part === 0 ? 0 : part / whole;

/** Largest fraction of any resource of `whole` that `part` needs; Infinity if it needs a resource that `whole` lacks. */
export const computeDominantFraction = (part: Resources, whole: Resources): number => Math.max(
	divide(part.processors, whole.processors),
	divide(part.memoryGigabytes, whole.memoryGigabytes),
	divide(part.accelerators, whole.accelerators),
);
