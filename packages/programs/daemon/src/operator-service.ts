/** Connects the operator service to the components of this entry instance. */
import {createOperatorService as createService} from '@turmericbay/operator-service';
import type {OperatorServiceImplementation} from '@turmericbay/peer-protocol';
import type {Settings} from '@turmericbay/settings';
import {createSystemClock} from '@turmericbay/types';
import type {EntryInstanceComponents} from './entry-instance.js';
import {createStatusSource} from './status-source.js';

export const createOperatorService = (components: EntryInstanceComponents, settings: Settings): OperatorServiceImplementation => createService({
	documentWatch: components.documentWatch,
	statusSource: createStatusSource({components, settings, clock: createSystemClock()}),
});
