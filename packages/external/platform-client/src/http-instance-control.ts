/**
 * Instance control over HTTP and JSON:
 *
 * - `POST /instances/{instance}/drain`
 * - `POST /instances/{instance}/reboot`
 * - `POST /instances/{instance}/pool {pool}`
 *
 * All are idempotent; a status from 400 to 499 means that the platform rejected the call.
 */
import type {InstanceControl, InstanceControlError, InstanceId} from '@turmericbay/types';
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import type {PlatformClientSettings} from './http-caller.js';
import {createHttpCaller} from './http-caller.js';

export type ClosableInstanceControl = InstanceControl & {close(): Promise<void>};

const isBetween = (status: number, first: number, last: number): boolean => status >= first && status <= last;

export const createHttpInstanceControl = (settings: PlatformClientSettings): ClosableInstanceControl => {
	const caller = createHttpCaller(settings);

	const post = async (instance: InstanceId, operation: string, body: unknown): Promise<Result<void, InstanceControlError>> => {
		const response = await caller.call({method: 'POST', path: `/instances/${encodeURIComponent(instance)}/${operation}`, body});
		if (response.isErr()) {
			return err({code: 'INSTANCE_CONTROL_UNAVAILABLE', message: response.error.message});
		}

		const {status, text} = response.value;
		if (isBetween(status, 200, 299)) {
			return ok(undefined);
		}

		return err({code: isBetween(status, 400, 499) ? 'INSTANCE_CONTROL_REFUSED' : 'INSTANCE_CONTROL_UNAVAILABLE', message: `status ${status}: ${text}`});
	};

	return {
		requestDrain: async ({instance}) => post(instance, 'drain', {}),
		requestReboot: async ({instance}) => post(instance, 'reboot', {}),
		assignPool: async ({instance, pool}) => post(instance, 'pool', {pool}),
		close: async () => caller.close(),
	};
};
