/** Creates the clients of the platform's services from the settings. */
import {
	createCountingStore, createEtcdKeyValueStore, createHttpInstanceControl, createServiceDiscoveryInstanceList,
} from '@turmericbay/platform-client';
import type {CountingStore} from '@turmericbay/platform-client';
import type {Settings} from '@turmericbay/settings';
import type {Clock, InstanceControl, InstanceList} from '@turmericbay/types';

export type PlatformClients = {
	readonly store: CountingStore;
	readonly list: InstanceList;
	readonly control: InstanceControl;
	close(): Promise<void>;
};

export const createPlatformClients = ({settings, clock}: {readonly settings: Settings; readonly clock: Clock}): PlatformClients => {
	const {instance, platform} = settings;
	const shared = {
		instance: instance.id,
		zone: instance.zone,
		connectTimeoutMilliseconds: platform.connectTimeoutMilliseconds,
		callTimeoutMilliseconds: platform.requestTimeoutMilliseconds,
	};
	const store = createEtcdKeyValueStore({...shared, origin: platform.keyValue});
	const list = createServiceDiscoveryInstanceList({...shared, origin: platform.instances});
	const control = createHttpInstanceControl({...shared, origin: platform.instances});
	return {
		store: createCountingStore({store, clock}),
		list,
		control,
		async close() {
			await Promise.all([store.close(), list.close(), control.close()]);
		},
	};
};
