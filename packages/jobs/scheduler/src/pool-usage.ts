/** Counts the resources that the runs of each workspace reserve in each pool; updated with each run, so that no tick has to add them up. */
import type {JobRow, Resources} from './model.js';

/** Jobs on public queues count as one workspace; names of workspaces are not empty. */
export const publicWorkspace = '';

export const getWorkspace = (job: JobRow): string => job.declaration.workspace ?? publicWorkspace;

export const noResources: Resources = {cpuMillis: 0, memoryMegabytes: 0, accelerators: 0};

export const addResources = (left: Resources, right: Resources, factor = 1): Resources => ({
	cpuMillis: left.cpuMillis + (factor * right.cpuMillis),
	memoryMegabytes: left.memoryMegabytes + (factor * right.memoryMegabytes),
	accelerators: left.accelerators + (factor * right.accelerators),
});

const divide = (part: number, whole: number): number => part === 0 ? 0 : part / whole;

/** Largest fraction of any resource of `whole` that `part` needs; Infinity if it needs a resource that `whole` lacks. */
export const computeDominantFraction = (part: Resources, whole: Resources): number =>
	Math.max(divide(part.cpuMillis, whole.cpuMillis), divide(part.memoryMegabytes, whole.memoryMegabytes), divide(part.accelerators, whole.accelerators));

type Usage = {readonly reserved: Resources; readonly runs: number};

export type PoolUsage = ReturnType<typeof createPoolUsage>;

export const createPoolUsage = () => {
	const pools = new Map<string, Map<string, Usage>>();
	return {
		/** `runs` is the number of runs that were added, negative for removed ones. */
		adjust(options: {readonly pool: string; readonly workspace: string; readonly resources: Resources; readonly runs: 1 | -1}): void {
			const {pool, workspace, resources, runs} = options;
			const usages = pools.get(pool) ?? new Map<string, Usage>();
			pools.set(pool, usages);
			const previous = usages.get(workspace) ?? {reserved: noResources, runs: 0};
			const next = {reserved: addResources(previous.reserved, resources, runs), runs: previous.runs + runs};
			if (next.runs > 0) {
				usages.set(workspace, next);
				return;
			}

			usages.delete(workspace);
			if (usages.size === 0) {
				pools.delete(pool);
			}
		},
		getReserved: (pool: string, workspace: string): Resources => pools.get(pool)?.get(workspace)?.reserved ?? noResources,
		/** Workspaces with runs in the pool. */
		listWorkspaces: (pool: string): Iterable<string> => pools.get(pool)?.keys() ?? [],
	};
};
