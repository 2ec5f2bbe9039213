"""Time from the answer to a change until every entry reports its revision."""
import os, sys, time, tempfile, json, urllib.request
sys.path.insert(0, os.path.join(os.path.dirname(__file__), '../scripts'))
from deployment import Deployment, OPERATOR_TOKEN
d=Deployment(os.path.abspath(sys.argv[1]), tempfile.mkdtemp(prefix='vh-dist-'))
def post(i):
    b=json.dumps({"change_id":f"d{i}","author":"b","proposed_at_unix_ms":str(int(time.time()*1000)),"set_default":{"setting":"member.max_in_flight","value":str(i%90+1)}}).encode()
    r=urllib.request.Request(f"http://127.0.0.1:{d.controls[0].http_port}/v1/changes",b,{"Authorization":"Bearer "+OPERATOR_TOKEN})
    return int(json.load(urllib.request.urlopen(r,timeout=10))["revision"])
def rev(e):
    return json.load(urllib.request.urlopen(f"http://127.0.0.1:{e.http_port}/readyz",timeout=5))["revision"]
try:
    d.start(); time.sleep(2); lat=[]
    for i in range(100):
        r=post(i); t=time.monotonic(); left=list(d.entries)
        while left:
            left=[e for e in left if rev(e)<r]
        lat.append((time.monotonic()-t)*1000); time.sleep(0.05)
    lat.sort(); print(f"{len(lat)} changes, {len(d.entries)} entries: p50 {lat[50]:.1f} ms p99 {lat[98]:.1f} ms max {lat[-1]:.1f} ms")
finally: d.stop()
