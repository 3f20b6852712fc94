// Calls the external processor with @grpc/grpc-js and reports the result of each check.
// node calls.mjs PORT PROTO_FOLDER
import grpc from '@grpc/grpc-js';
import loader from '@grpc/proto-loader';

const [port, protos] = process.argv.slice(2);
const load = (file) =>
  grpc.loadPackageDefinition(
    loader.loadSync(file, {includeDirs: [protos], keepCase: true, defaults: true, oneofs: true}));
const ext = load('envoy/service/ext_proc/v3/external_processor.proto').envoy.service.ext_proc.v3;
const health = load('grpc/health/v1/health.proto').grpc.health.v1;
const address = `127.0.0.1:${port}`;
const credentials = grpc.credentials.createInsecure();
const processor = new ext.ExternalProcessor(address, credentials);
const checker = new health.Health(address, credentials);
const service = 'envoy.service.ext_proc.v3.ExternalProcessor';

let broken = 0;
function check(what, good, seen) {
  console.log(`${good ? 'held  ' : 'BROKEN'}  ${what}${good ? '' : ': ' + JSON.stringify(seen)}`);
  broken += !good;
}
const headers = (fields) => ({
  headers: {headers: Object.entries(fields).map(([key, value]) => ({key, raw_value: Buffer.from(value)}))},
});
const within = (promise, what) =>
  Promise.race([promise, new Promise((_, no) => setTimeout(() => no(new Error(`${what}: no answer`)), 20000))]);

/// Runs one stream: sends `messages` in order, each after the answer to the previous one. Cancels
/// the stream after `leave` answers, if given.
function stream(messages, leave) {
  return within(new Promise((done) => {
    const call = processor.Process();
    const answers = [];
    let sent = 0, result = null;
    const next = () => {
      if (leave !== undefined && answers.length >= leave) return call.cancel();
      if (sent < messages.length) return call.write(messages[sent++]);
      call.end();
    };
    call.on('data', (answer) => { answers.push(answer); next(); });
    call.on('error', (error) => { result = error; });
    call.on('status', (status) => done({answers, code: result ? result.code : status.code}));
    next();
  }), 'stream');
}
const request = (fields) => ({request_headers: headers({':method': 'GET', ...fields})});
const response = (fields) => ({response_headers: headers({':status': '200', ...fields})});
const endpoint = (answer) =>
  (answer?.request_headers?.response?.header_mutation?.set_headers ?? [])
    .filter((one) => one.header.key === 'x-gateway-destination-endpoint')
    .map((one) => one.header.raw_value.toString())[0];
const refusal = (answer) => answer?.immediate_response?.status?.code;

// Depending on its options, proto-loader returns enums as numbers or names; both are accepted.
const code = (value) => ({BadRequest: 400, TooManyRequests: 429, ServiceUnavailable: 503})[value] ?? Number(value);

let serial = 0;
const id = () => `js-${++serial}`;

let r = await stream([request({'x-request-id': id(), 'x-price-key': 'k1'}),
                      response({'endpoint-load-metrics': 'JSON {"cpu_utilization":0.3}'})]);
check('a choice, its report taken, the stream ended with OK',
      /^127\.0\.0\.1:\d+$/.test(endpoint(r.answers[0]) ?? '') && r.answers[1]?.response_headers && r.code === 0, r);
check('the same endpoint in the metadata',
      JSON.stringify(r.answers[0]?.dynamic_metadata ?? {}).includes(endpoint(r.answers[0])), r.answers[0]);
for (const [field, fields] of [['x-price-key', {'x-request-id': id()}], ['x-request-id', {'x-price-key': 'k'}],
     ['x-request-class', {'x-request-id': id(), 'x-price-key': 'k', 'x-request-class': 'no-such'}],
     ['x-envoy-expected-rq-timeout-ms', {'x-request-id': id(), 'x-price-key': 'k', 'x-envoy-expected-rq-timeout-ms': 'soon'}]]) {
  r = await stream([request(fields)]);
  check(`400 names ${field}`, code(refusal(r.answers[0])) === 400 &&
        r.answers[0].immediate_response.body.toString() === field, r);
}
r = await stream([request({'x-request-id': id(), 'x-price-key': 'k', 'x-envoy-expected-rq-timeout-ms': '0'})]);
check('a deadline that is over is refused or failed, not chosen for',
      [429, 503].includes(code(refusal(r.answers[0]))), r);
r = await stream([response({})]);
check('a report before any request ends the stream with INVALID_ARGUMENT', r.code === grpc.status.INVALID_ARGUMENT, r);

// A further attempt on a new stream gets another endpoint.
const again = id();
r = await stream([request({'x-request-id': again, 'x-price-key': 'k2'}), response({':status': '500'})]);
const first = endpoint(r.answers[0]);
r = await stream([request({'x-request-id': again, 'x-price-key': 'k2', 'x-envoy-attempt-count': '2'}), response({})]);
check('a further attempt is told another endpoint, or refused',
      (endpoint(r.answers[0]) ?? 'refused') !== first, [first, r]);

// Many streams at once, cancelled without a report at each point; they must leave no state behind.
for (const leave of [0, 1]) {
  const all = await Promise.all(Array.from({length: 200}, (_, k) =>
    stream([request({'x-request-id': id(), 'x-price-key': `left${k}`}), response({})], leave)));
  check(`200 streams cancelled after ${leave} answers`, all.every((one) => one.code === grpc.status.CANCELLED), all[0]);
}
const spread = new Map();
let unserved = 0;
for (let k = 0; k < 2000; k += 50) {
  const all = await Promise.all(Array.from({length: 50}, (_, j) =>
    stream([request({'x-request-id': id(), 'x-price-key': `key${k + j}`}), response({})])));
  for (const one of all) {
    const to = endpoint(one.answers[0]);
    if (to) spread.set(to, (spread.get(to) ?? 0) + 1);
    else ++unserved;
  }
}
const least = Math.min(...spread.values()), most = Math.max(...spread.values());
check('2,000 keys after them: all served, each of four caches between 350 and 650',
      unserved === 0 && spread.size === 4 && least >= 350 && most <= 650, [unserved, ...spread]);

const status = await within(new Promise((done) => checker.Check({service}, (_, a) => done(a?.status))), 'health');
check('health says SERVING', status === 'SERVING' || status === 1, status);
const watch = checker.Watch({service});
const watched = await within(new Promise((done) => watch.on('data', (a) => done(a.status))), 'watch');
watch.on('error', () => {});
watch.cancel();
check('a watch is told at once', watched === 'SERVING' || watched === 1, watched);
const unknown = new grpc.Client(address, credentials);
const how = await within(new Promise((done) =>
  unknown.makeUnaryRequest('/no.such.Service/Call', (b) => b, (b) => b, Buffer.alloc(0), (e) => done(e?.code))), 'unknown');
check('an unknown method is UNIMPLEMENTED', how === grpc.status.UNIMPLEMENTED, how);

for (const client of [processor, checker, unknown]) client.close();
process.exit(broken ? 1 : 0);
