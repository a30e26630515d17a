import process from 'node:process';
import {measureDecisions} from './decision-time.js';
import {
	decisionTable, localityTable, overloadTable, retryTable, seeds, shareTable,
} from './tables.js';

const parts = [overloadTable(), shareTable(), retryTable(), localityTable(), decisionTable(measureDecisions(seeds[0]!))];
process.stdout.write(`${parts.join('\n')}\n`);
