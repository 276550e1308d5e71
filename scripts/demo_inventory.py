#!/usr/bin/env python3
"""Adapts an example inventory to fake endpoints on loopback.

Reads an inventory from standard input, keeps only the named endpoints and their
domains, and sets the address of each endpoint:

    demo_inventory.py NAME=IP:PORT [NAME=IP:PORT ...] < inventory.json
"""
import json
import sys


def main():
    addresses = dict(argument.split("=", 1) for argument in sys.argv[1:])
    inventory = json.load(sys.stdin)
    endpoints = [e for e in inventory["endpoints"] if e["name"] in addresses]
    for endpoint in endpoints:
        endpoint["address"] = addresses[endpoint["name"]]
    domains = {endpoint["domain"] for endpoint in endpoints}
    inventory["endpoints"] = endpoints
    inventory["instances"] = []
    inventory["domains"] = [d for d in inventory["domains"] if d["name"] in domains]
    inventory["links"] = [
        l for l in inventory["links"] if l["from"] in domains and l["to"] in domains
    ]
    json.dump(inventory, sys.stdout)


main()
