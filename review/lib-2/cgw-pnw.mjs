/** Bounds of the site cgw-pnw (SYSTEM.md), and parts of its configuration at the size of a small deployment. */

/* eslint-disable camelcase -- The names are those of the settings file. */
export const bounds = {
	contactMs: 3000, ackTimeoutMs: 4000, catchUpS: 4, drainMs: 2000, graceS: 6, lossSlackMs: 200, configApplyMs: 2000, strictRevoke: true, revokeMs: 5000,
	quotaExcess: 0.1, recoveryS: 12, holdMaxMs: 6000, stopMs: 900, gangTimeoutMs: 3000, cancel_ms: 3000, visible_ms: 3000, early_ms: 250, finish_s: 14, status_s: 120,
	farFactor: 3, checkpointS: 0.5, restoreMs: 600, noticeMs: 4500, leaseTtlMs: 3000, enforceFencing: false, thawMs: 300, paceMs: 100, harmMs: 4000,
};
/* eslint-enable camelcase */

/** Each runner of the site has about 64 cores and 256 GB. */
export const capacity = {cpu: 64_000, memMb: 262_144, gpu: 0};

export const createConfiguration = ({queues, services, tenants}) => ({
	version: 7, limits: {
		maxHeaderBytes: 16_384, maxBodyBytes: 262_144, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
	},
	services: services.map(name => ({name, enforcesCapacity: true, standby: false})),
	routes: queues.map(queue => ({
		host: 'jobs.example', kind: 'non_idempotent', timeoutMs: 3000, sloMs: 600, priority: 0, maxAttempts: 4, stretch: 1.6, public: false, ...queue,
	})),
	tenants,
});

export const noMaximum = {cpu: 0, memMb: 0, gpu: 0};
