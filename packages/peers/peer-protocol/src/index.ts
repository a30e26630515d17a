export * from './authentication.js';
export * from './generated/turmericbay/peer/v1/peer_pb.js';
export * as operatorMessages from './generated/turmericbay/operator/v1/operator_pb.js';
export * from './operator-client.js';
export * from './peer-client.js';
export * from './peer-server.js';
