/**
 * Instance list in the Prometheus HTTP service discovery format
 * (https://prometheus.io/docs/prometheus/latest/http_sd/).
 */
import type {InstanceList, InstanceListError, InstanceRecord} from '@turmericbay/types';
import {InstanceRole, InstanceState} from '@turmericbay/types';
import {err, ok} from 'neverthrow';
import {z} from 'zod';
import type {PlatformClientSettings} from './http-caller.js';
import {createHttpCaller, parseJsonText} from './http-caller.js';

const targetGroup = z.object({
	targets: z.tuple([z.string().min(1)]),
	labels: z.object({
		instance: z.string().min(1),
		incarnation: z.string().min(1),
		role: z.enum(InstanceRole),
		pool: z.string(),
		zone: z.string(),
		rack: z.string(),
		state: z.enum(InstanceState),
	}),
}).transform(({targets: [address], labels}): InstanceRecord => ({...labels, address}));

const listResponse = z.array(targetGroup);
const okStatus = 200;
const notModifiedStatus = 304;

const createError = (code: InstanceListError['code'], message: string): InstanceListError => ({code, message});

export type ClosableInstanceList = InstanceList & {close(): Promise<void>};

/** Reads the list with `GET` from `path` (by default `/instances`) at `settings.origin`. */
export const createServiceDiscoveryInstanceList = (settings: PlatformClientSettings & {readonly path?: string}): ClosableInstanceList => {
	const caller = createHttpCaller(settings);
	/** Cached because the list is read every second, changes every few minutes and has 600 KB at 3,000 instances. */
	let cached: {readonly entityTag: string; readonly records: readonly InstanceRecord[]} | undefined;
	return {
		async readInstances() {
			const response = await caller.call({method: 'GET', path: settings.path ?? '/instances', entityTag: cached?.entityTag});
			if (response.isErr()) {
				return err(createError('INSTANCE_LIST_UNAVAILABLE', response.error.message));
			}

			if (response.value.status === notModifiedStatus && cached !== undefined) {
				return ok(cached.records);
			}

			if (response.value.status !== okStatus) {
				return err(createError('INSTANCE_LIST_UNAVAILABLE', `status ${response.value.status}`));
			}

			const parsed = listResponse.safeParse(parseJsonText(response.value.text));
			if (!parsed.success) {
				return err(createError('INSTANCE_LIST_MALFORMED', z.prettifyError(parsed.error)));
			}

			const {entityTag} = response.value;
			cached = entityTag === undefined ? undefined : {entityTag, records: parsed.data};
			return ok(parsed.data);
		},
		close: async () => caller.close(),
	};
};
