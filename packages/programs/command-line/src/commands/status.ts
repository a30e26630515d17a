import {BaseCommand, connectionFlags} from '../base-command.js';
import {showMaintenanceStatus, showStatus} from '../status-actions.js';

export class Status extends BaseCommand {
	public static override summary = 'Shows entry instances, pools and teams.';
	public static override flags = connectionFlags;

	public async run(): Promise<unknown> {
		const {flags} = await this.parse(Status);
		return this.printOutcome(await showStatus(this.createClient(flags)));
	}
}

export class MaintenanceStatus extends BaseCommand {
	public static override summary = 'Shows the maintenance wave.';
	public static override flags = connectionFlags;

	public async run(): Promise<unknown> {
		const {flags} = await this.parse(MaintenanceStatus);
		return this.printOutcome(await showMaintenanceStatus(this.createClient(flags)));
	}
}
