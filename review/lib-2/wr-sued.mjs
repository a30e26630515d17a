/** Bounds and runners of the site wr-sued (SYSTEM.md), where they differ from those of cgw-pnw. */
import {bounds as otherBounds} from './cgw-pnw.mjs';

export const bounds = {
	...otherBounds, holdMaxMs: 10_000, stopMs: 200, farFactor: 1.5, checkpointS: 2,
};

/** Each runner of the site has about 16 cores and 32 GB. */
export const capacity = {cpu: 16_000, memMb: 32_768, gpu: 0};
